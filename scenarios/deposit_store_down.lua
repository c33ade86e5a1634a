-- A deposit that is refused with not_run while the store is down has not run,
-- and runs once when the store is up again. With a slow store, a deposit is
-- confirmed and runs once.
deploy(0, 3, 2)
local refused = key()
take_platform_down()
local status, body = post_deposit(0, refused)
local verdict, code = verdict_of(body)
expect(verdict == "not_run", "not_run, got " .. tostring(body))
expect(count_runs(refused, 3) == 0, "no run")
bring_platform_up()
await("the deposit is confirmed",
  function() return post_deposit(1, refused) == 200 end)
expect(count_runs(refused, 3) == 1, "one run")
delay_platform(200)
local slow = key()
expect(post_deposit(0, slow) == 200, "a confirmation with a slow store")
expect(count_runs(slow, 3) == 1, "one run")
delay_platform(0)
local old = key(0)
expect_no_audit_findings()
