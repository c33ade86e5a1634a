-- A target that is leaving gets no new work after three seconds; what runs on
-- it is finished.
deploy(2, 0, 2, "--step-base-us", "20000")
local long = {brief(0, 200, "one"), brief(1, 200, "two"), brief(0, 200, "3")}
await("they have begun", function()
  return stream(long[1]).tokens > 3 and stream(long[2]).tokens > 3
end)
expect(control("target", "leave", "design-1") == 0, "the target to leave")
sleep(3000)
local before = engine_stats(0).received
for i = 1, 20 do whole_brief(i % 2, 5) end
expect(engine_stats(0).received == before, "no new work at the target")
for _, number in ipairs(long) do
  expect(await_end(number).done, "running streams to finish")
end
expect_clean_audit()
