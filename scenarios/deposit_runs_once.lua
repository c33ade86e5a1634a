-- A deposit is sent again and again through all instances while the store
-- loses answers, the desk loses answers and the claimant is killed.
deploy(0, 3, 3)
local first = key()
expect(deposit(0, first) == 200, "a confirmation")
for i = 0, 2 do
  local status, body = deposit(i, first)
  expect(status == 200, "the recorded answer")
end
expect(runs_of(first, 3) == 1, "one run")
local status, body = deposit(1, first, '{"deposit":90}')
expect(status == 409, "another body to be refused")

local lost = key()
lose_answer(1)
expect(deposit(1, lost) == 200, "a lost answer of the store to be settled")
expect(runs_of(lost, 3) == 1, "one run")

local doubtful = key()
for i = 0, 2 do faults(desk_port(i), '{"lose_answers":1}') end
local again, text = deposit(2, doubtful)
expect(verdict_of(text) == "may_have_run", "an honest verdict")
for i = 0, 2 do faults(desk_port(i), '{"lose_answers":0}') end
for i = 0, 2 do
  local _, answer = deposit(i, doubtful)
  expect(verdict_of(answer) == "may_have_run", "the same verdict anywhere")
end
expect(runs_of(doubtful, 3) == 1, "one run")

-- The claimant dies while the desk works.
local orphaned = key()
for i = 0, 2 do faults(desk_port(i), '{"delay_ms":1500}') end
open_stream(entry_port(0), "POST", "/v1/services/deposits", '{"deposit":80}',
  {["X-Workspace"] = "salon-rennes", ["Idempotency-Key"] = orphaned})
await("the desk has it", function() return runs_of(orphaned, 3) == 1 end)
kill("entry-0")
for i = 0, 2 do faults(desk_port(i), '{"delay_ms":0}') end
for i = 1, 2 do
  local _, answer = deposit(i, orphaned)
  expect(verdict_of(answer) == "may_have_run", "an honest verdict after death")
end
expect(runs_of(orphaned, 3) == 1, "one run")
expect_clean_audit()
