-- A domain is cut off: it refuses deposits truly, the others confirm, and a
-- resend through it after the cut gets the recorded answer.
deploy(0, 3, 3)
cut("rennes", 3)
local confirmation = key()
local _, body = deposit(0, confirmation)
expect(verdict_of(body) == "not_run", "not_run from the cut-off domain")
expect(deposit(1, confirmation) == 200, "a confirmation elsewhere")
heal(3)
await("the domain gives the recorded answer", function()
  local status, text = deposit(0, confirmation)
  return status == 200
end)
expect(runs_of(confirmation, 3) == 1, "one run")
expect_clean_audit()
