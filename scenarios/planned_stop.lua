-- An instance that gets SIGTERM under load completes its requests in flight and
-- exits with code 0.
deploy(4, 0, 2)
local streams = {}
for i = 1, 40 do streams[i] = stream_completion(i % 2, 150, "brief " .. i) end
await("all streams have begun", function()
  for i = 1, 40 do
    if stream(streams[i]).tokens < 3 then return false end
  end
  return true
end)
signal("entry-1", "TERM")
await("entry-1 is not ready any more", function() return not is_ready(1) end)
for i = 1, 40 do
  local state = await_stream_end(streams[i])
  expect(state.done and state.tokens == 150,
    "stream " .. i .. " to be complete")
end
local code = await("entry-1 has exited",
  function() return exit_code("entry-1") end)
expect(code == 0, "exit code 0, got " .. code)
expect_no_audit_findings()
