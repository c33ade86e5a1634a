-- An instance is suspended until its leases have expired, and then continued.
-- Meanwhile, streams through the other instances are complete. A deposit that
-- is resent to the continued instance runs once.
deploy(3, 3, 3)
local streams = {}
for i = 1, 20 do
  streams[i] = stream_completion(1 + i % 2, 80, "brief " .. i)
end
suspend_process("entry-0")
local confirmation = key()
expect(post_deposit(1, confirmation) == 200,
  "a confirmation while entry-0 is suspended")
for i = 1, 20 do
  local state = await_stream_end(streams[i])
  expect(state.done and state.tokens == 80, "stream " .. i .. " to be complete")
end
await("the other instances drop entry-0 from their members", function()
  return #instance_status(1).members == 2 and #instance_status(2).members == 2
end)
continue_process("entry-0")
await("entry-0 is a member again", function()
  local seen = instance_status(1)
  return seen and #seen.members == 3
end)
expect(post_deposit(0, confirmation) == 200, "the recorded response")
expect(count_runs(confirmation, 3) == 1, "one run")
local state = await_stream_end(stream_completion(0, 20))
expect(state.done and state.tokens == 20, "entry-0 to serve streams again")
expect_no_audit_findings()
