-- A failure domain that was taken out gets no new work after three seconds,
-- also from an instance that is cut off from the platform; it comes back cold.
deploy(6, 0, 3)
local function received()
  return engine_stats(0).received + engine_stats(3).received
end
for i = 1, 12 do whole_brief(i % 3, 5) end
expect(control("domain", "out", "rennes") == 0, "the domain to be taken out")
sleep(3000)
local before = received()
for i = 1, 30 do whole_brief(1 + i % 2, 5) end
expect(received() == before, "no new work in the domain")
for i = 1, 3 do
  local status = whole_brief(0, 5)
  expect(status == 200, "callers of the domain to be served elsewhere")
end
expect(received() == before, "no new work in the domain")
expect(control("domain", "in", "rennes") == 0, "the domain to be back")
await("the domain gets work again", function()
  for i = 1, 10 do whole_brief(0, 5) end
  return received() > before
end)
expect_clean_audit()
