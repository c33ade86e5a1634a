-- Requests that differ but whose prompts begin alike crash every engine that
-- begins a response to them. They are refused after two crashes that are apart in
-- time, at any instance of the domain; prompts with another beginning are served.
deploy(4, 0, 4)
for i = 0, 3 do set_faults(engine_port(i), '{"crash_on":"poison"}') end
local shared = string.rep("poison ", 200)
local refused = 0
-- Instances 0 and 3 are in the same domain.
for round = 1, 8 do
  local status, body =
    request_completion(round % 2 == 0 and 0 or 3, 20, shared .. round)
  expect(status ~= 200, "the crashing prompt to fail")
  if body:find("quarantined") then refused = refused + 1 end
  sleep(250)
end
-- The request of the first crash is tried once more at once, which counts as the
-- same crash.
local crashes = 0
for i = 0, 3 do crashes = crashes + engine_stats(i).falls end
expect(crashes <= 3, "at most three engine crashes, got " .. crashes)
expect(crashes >= 2, "at least two engine crashes, got " .. crashes)
expect(refused >= 6, "six requests to be refused, got " .. refused)
await("other prompts are served", function()
  return request_completion(0, 20, string.rep("healthy ", 200)) == 200
end)
expect_no_audit_findings()
