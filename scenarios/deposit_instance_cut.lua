-- A network partition isolates a domain. It refuses a deposit with not_run and
-- does not run it; the other domains confirm the deposit. A resend through the
-- domain after the partition gets the recorded response.
deploy(0, 3, 3)
partition_domain("rennes", 3)
local confirmation = key()
local _, body = post_deposit(0, confirmation)
expect(verdict_of(body) == "not_run", "not_run from the partitioned domain")
expect(post_deposit(1, confirmation) == 200,
  "the deposit to be confirmed in another domain")
heal_partition(3)
await("the domain returns the recorded response", function()
  local status, text = post_deposit(0, confirmation)
  return status == 200
end)
expect(count_runs(confirmation, 3) == 1, "one run")
expect_no_audit_findings()
