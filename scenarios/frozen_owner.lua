-- An instance is frozen past its leases and woken again under load: streams
-- through the others are whole, and confirmations run once.
deploy(3, 3, 3)
local streams = {}
for i = 1, 20 do streams[i] = brief(1 + i % 2, 80, "brief " .. i) end
freeze("entry-0")
local confirmation = key()
expect(deposit(1, confirmation) == 200, "a confirmation meanwhile")
for i = 1, 20 do
  local state = await_end(streams[i])
  expect(state.done and state.tokens == 80, "stream " .. i .. " to be whole")
end
await("the others see it as dead", function()
  return #status(1).members == 2 and #status(2).members == 2
end)
thaw("entry-0")
await("it is known again", function()
  local seen = status(1)
  return seen and #seen.members == 3
end)
expect(deposit(0, confirmation) == 200, "the recorded answer")
expect(runs_of(confirmation, 3) == 1, "one run")
local state = await_end(brief(0, 20))
expect(state.done and state.tokens == 20, "it serves again")
expect_clean_audit()
