-- A request that crashes every engine that runs it is quarantined after two
-- crashes, also when its caller resends it at once through another instance of
-- the same domain.
deploy(4, 0, 4)
for i = 0, 3 do set_faults(engine_port(i), '{"crash_on":"poison"}') end
local status_first, body_first = request_completion(0, 20, "poison")
expect(status_first ~= 200, "the crashing request to fail")
for _ = 1, 3 do
  for i = 3, 0, -3 do request_completion(i, 20, "poison") end
end
local crashes = 0
for i = 0, 3 do crashes = crashes + engine_stats(i).falls end
expect(crashes <= 2, "at most two engine crashes, got " .. crashes)
expect(crashes >= 1, "at least one engine crash")
await("other requests are served", function()
  return request_completion(0, 20, "healthy") == 200
end)
expect_no_audit_findings()
