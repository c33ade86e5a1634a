-- 200 parallel streams through two instances; one is killed and its callers go
-- on at the other one. Every token arrives once and in order.
deploy(6, 0, 2)
local streams = {}
for i = 1, 200 do streams[i] = brief(i % 2, 60 + i % 40, "brief " .. i) end
await("most streams have begun", function()
  local begun = 0
  for i = 1, 200 do
    if stream(streams[i]).tokens > 5 then begun = begun + 1 end
  end
  return begun > 150
end)
kill("entry-1")
local resumed = 0
for i = 1, 200 do
  local state = await_end(streams[i])
  if not state.done then
    if state.tokens > 0 then
      resume(streams[i], 0)
      resumed = resumed + 1
    else
      streams[i] = brief(0, 60 + i % 40, "brief " .. i)
    end
  end
end
expect(resumed > 20, "many streams to be resumed, not " .. resumed)
local generated = 0
for i = 1, 200 do
  local state = await_end(streams[i])
  expect(state.done, "stream " .. i .. " to be whole: " .. state.error ..
    state.error_body)
  expect(state.tokens == 60 + i % 40, "all tokens of stream " .. i)
  -- Compare with what the engine generated under the same name.
  local generation = state.last_event_id:match("|(%x+)|")
  local engine = tonumber(state.last_event_id:match("^design%-(%d+)|")) - 1
  local original = open_stream(engine_port(engine), "GET",
    "/v1/generations/" .. generation .. "?from=0")
  local source = await_end(original)
  expect(source.text == state.text, "the engine's own tokens in stream " .. i)
  generated = generated + state.tokens
end
expect_clean_audit()
