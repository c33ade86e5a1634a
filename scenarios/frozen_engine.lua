-- An engine hangs while it streams. New requests run on the other engine, and
-- the interrupted generations continue once the engine runs again.
deploy(2, 0, 1, "--step-base-us", "10000")
local streams = {}
for i = 1, 10 do streams[i] = stream_completion(0, 120, "brief " .. i) end
await("all streams have begun", function()
  for i = 1, 10 do
    if stream(streams[i]).tokens < 3 then return false end
  end
  return true
end)
set_faults(engine_port(0), '{"frozen":true}')
sleep(1000)
for i = 1, 5 do
  expect(request_completion(0, 10) == 200,
    "requests to be served by the other engine")
end
sleep(3500)
set_faults(engine_port(0), '{"frozen":false}')
for i = 1, 10 do
  local state = await_stream_end(streams[i])
  expect(state.done and state.tokens == 120, "stream " .. i ..
    " to be complete; tokens and error: " .. state.tokens .. state.error_body)
end
expect_no_audit_findings()
