-- The connection to an engine breaks during a stream. The stream continues with
-- the same generation.
deploy(1, 0, 1)
set_faults(engine_port(0), '{"cut_at_token":20}')
local state = await_stream_end(stream_completion(0, 80))
expect(state.done and state.tokens == 80,
  "a complete stream over a broken connection")
expect(engine_stats(0).received == 1, "a single generation")
expect_no_audit_findings()
