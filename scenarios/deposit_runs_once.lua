-- A deposit runs at most once although it is resent through all instances while
-- responses of the store and of the plain service are lost and the instance
-- that holds the claim is killed.
deploy(0, 3, 3)
local first = key()
expect(post_deposit(0, first) == 200, "the deposit to be confirmed")
for i = 0, 2 do
  local status, body = post_deposit(i, first)
  expect(status == 200, "the recorded response")
end
expect(count_runs(first, 3) == 1, "one run")
local status, body = post_deposit(1, first, '{"deposit":90}')
expect(status == 409, "the same key with another body to be refused")

local lost = key()
drop_write_responses(1)
expect(post_deposit(1, lost) == 200,
  "a confirmation although the store's response was dropped")
expect(count_runs(lost, 3) == 1, "one run")

local doubtful = key()
for i = 0, 2 do set_faults(plain_service_port(i), '{"lose_answers":1}') end
local again, text = post_deposit(2, doubtful)
expect(verdict_of(text) == "may_have_run",
  "may_have_run after the service's response was lost")
for i = 0, 2 do set_faults(plain_service_port(i), '{"lose_answers":0}') end
for i = 0, 2 do
  local _, response = post_deposit(i, doubtful)
  expect(verdict_of(response) == "may_have_run",
    "the same verdict from any instance")
end
expect(count_runs(doubtful, 3) == 1, "one run")

-- The claimant is killed while the plain service processes the deposit.
local orphaned = key()
for i = 0, 2 do set_faults(plain_service_port(i), '{"delay_ms":1500}') end
open_stream(entry_port(0), "POST", "/v1/services/deposits", '{"deposit":80}',
  {["X-Workspace"] = "salon-rennes", ["Idempotency-Key"] = orphaned})
await("the plain service has received the deposit",
  function() return count_runs(orphaned, 3) == 1 end)
kill_process("entry-0")
for i = 0, 2 do set_faults(plain_service_port(i), '{"delay_ms":0}') end
for i = 1, 2 do
  local _, response = post_deposit(i, orphaned)
  expect(verdict_of(response) == "may_have_run",
    "may_have_run after the claimant was killed")
end
expect(count_runs(orphaned, 3) == 1, "one run")
expect_no_audit_findings()
