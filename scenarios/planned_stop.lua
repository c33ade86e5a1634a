-- SIGTERM under load: no request in flight is cut, the exit code is 0.
deploy(4, 0, 2)
local streams = {}
for i = 1, 40 do streams[i] = brief(i % 2, 150, "brief " .. i) end
await("they have begun", function()
  for i = 1, 40 do
    if stream(streams[i]).tokens < 3 then return false end
  end
  return true
end)
signal("entry-1", "TERM")
await("it is not ready any more", function() return not ready(1) end)
for i = 1, 40 do
  local state = await_end(streams[i])
  expect(state.done and state.tokens == 150, "stream " .. i .. " to be whole")
end
local code = await("it has ended", function() return exit_code("entry-1") end)
expect(code == 0, "exit code 0, not " .. code)
expect_clean_audit()
