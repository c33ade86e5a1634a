-- One of two instances is killed while 200 streams run through them. Its
-- callers resume their streams at the other instance. Every token arrives
-- exactly once and in order.
deploy(6, 0, 2)
local streams = {}
for i = 1, 200 do
  streams[i] = stream_completion(i % 2, 60 + i % 40, "brief " .. i)
end
await("most streams have begun", function()
  local begun = 0
  for i = 1, 200 do
    if stream(streams[i]).tokens > 5 then begun = begun + 1 end
  end
  return begun > 150
end)
kill_process("entry-1")
local resumed = 0
for i = 1, 200 do
  local state = await_stream_end(streams[i])
  if not state.done then
    if state.tokens > 0 then
      resume_completion(streams[i], 0)
      resumed = resumed + 1
    else
      streams[i] = stream_completion(0, 60 + i % 40, "brief " .. i)
    end
  end
end
expect(resumed > 20, "more than 20 streams to be resumed, got " .. resumed)
local generated = 0
for i = 1, 200 do
  local state = await_stream_end(streams[i])
  expect(state.done, "stream " .. i .. " to be complete: " .. state.error ..
    state.error_body)
  expect(state.tokens == 60 + i % 40, "all tokens of stream " .. i)
  -- Compare with the tokens that the engine generated for this generation.
  local generation = state.last_event_id:match("|(%x+)|")
  local engine = tonumber(state.last_event_id:match("^design%-(%d+)|")) - 1
  local original = open_stream(engine_port(engine), "GET",
    "/v1/generations/" .. generation .. "?from=0")
  local source = await_stream_end(original)
  expect(source.text == state.text, "the tokens of the engine in stream " .. i)
  generated = generated + state.tokens
end
expect_no_audit_findings()
