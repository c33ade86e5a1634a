-- An engine freezes in the middle of answers: new work goes elsewhere, and the
-- same generations go on when it thaws.
deploy(2, 0, 1, "--step-base-us", "10000")
local streams = {}
for i = 1, 10 do streams[i] = brief(0, 120, "brief " .. i) end
await("they have begun", function()
  for i = 1, 10 do
    if stream(streams[i]).tokens < 3 then return false end
  end
  return true
end)
faults(engine_port(0), '{"frozen":true}')
sleep(1000)
for i = 1, 5 do
  expect(whole_brief(0, 10) == 200, "others to be served")
end
sleep(3500)
faults(engine_port(0), '{"frozen":false}')
for i = 1, 10 do
  local state = await_end(streams[i])
  expect(state.done and state.tokens == 120, "stream " .. i .. " to be whole: "
    .. state.tokens .. state.error_body)
end
expect_clean_audit()
