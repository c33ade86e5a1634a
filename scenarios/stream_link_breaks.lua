-- The link to an engine breaks in the middle: the same generation goes on.
deploy(1, 0, 1)
faults(engine_port(0), '{"cut_at_token":20}')
local state = await_end(brief(0, 80))
expect(state.done and state.tokens == 80, "a whole stream over a broken link")
expect(engine_stats(0).received == 1, "one generation only")
expect_clean_audit()
