-- Rennes is cut off from the platform and the others while it is taken out.
-- Nobody outside sends into it; it goes on serving its own callers, which the
-- operators' page says.
deploy(6, 0, 3)
for i = 1, 12 do whole_brief(i % 3, 5) end
cut("rennes", 3)
expect(control("domain", "out", "rennes") == 0, "the domain to be taken out")
sleep(3000)
local before = engine_stats(0).received + engine_stats(3).received
for i = 1, 30 do
  expect(whole_brief(1 + i % 2, 5) == 200, "the others to serve")
end
expect(engine_stats(0).received + engine_stats(3).received == before,
  "no new work from outside")
expect(whole_brief(0, 5) == 200, "the cut-off domain to serve its callers")
heal(3)
await("the change is in force in the domain", function()
  return status(0).configuration == 2
end)
sleep(500)
before = engine_stats(0).received + engine_stats(3).received
for i = 1, 10 do whole_brief(0, 5) end
expect(engine_stats(0).received + engine_stats(3).received == before,
  "no new work in the domain once it heard")
