-- An engine dies: before the first token the request runs elsewhere, after it
-- the stream ends with an honest error and no token of another generation.
deploy(2, 0, 1, "--step-base-us", "20000")
local late = brief(0, 400, "long")
await("it has begun", function() return stream(late).tokens > 10 end)
local engine = tonumber(stream(late).last_event_id:match("^design%-(%d+)|")) - 1
kill("engine-" .. engine)
local state = await_end(late)
expect(not state.done, "an incomplete stream")
expect(state.error_body:find('"may_have_run"', 1, true), "an honest verdict")
local other = await_end(brief(0, 30, "after"))
expect(other.done and other.tokens == 30, "the next request runs elsewhere")
expect_clean_audit()
