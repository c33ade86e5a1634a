-- An engine is killed. A stream that has already received tokens ends with an
-- error whose verdict is may_have_run, and with no token of another generation.
-- A request that has not received any runs on another engine.
deploy(2, 0, 1, "--step-base-us", "20000")
local started = stream_completion(0, 400, "long")
await("the stream has begun",
  function() return stream(started).tokens > 10 end)
local engine =
  tonumber(stream(started).last_event_id:match("^design%-(%d+)|")) - 1
kill_process("engine-" .. engine)
local state = await_stream_end(started)
expect(not state.done, "an incomplete stream")
expect(state.error_body:find('"may_have_run"', 1, true),
  "the verdict may_have_run")
local other = await_stream_end(stream_completion(0, 30, "after"))
expect(other.done and other.tokens == 30,
  "the next request to run on another engine")
expect_no_audit_findings()
