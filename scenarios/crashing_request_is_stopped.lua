-- A request that crashes each engine that runs it is stopped after two, also
-- when its caller sends it again at once through another instance of the
-- domain.
deploy(4, 0, 4)
for i = 0, 3 do faults(engine_port(i), '{"crash_on":"poison"}') end
local status_first, body_first = whole_brief(0, 20, "poison")
expect(status_first ~= 200, "the poisoned request to fail")
for round = 1, 3 do
  for i = 3, 0, -3 do whole_brief(i, 20, "poison") end
end
local falls = 0
for i = 0, 3 do falls = falls + engine_stats(i).falls end
expect(falls <= 2, "at most two crashed engines, not " .. falls)
expect(falls >= 1, "the poison to have been tried")
await("others are served", function()
  return whole_brief(0, 20, "healthy") == 200
end)
expect_clean_audit()
