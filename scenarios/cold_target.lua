-- Cold engines get no more than they bear from three instances, with the
-- steward killed and the platform down, and warm up by the work they get.
deploy(0, 0, 3)
for i = 0, 2 do
  start_engine(i, "--starts-cold", "--warm-up-tokens", "3000",
    "--step-base-us", "5000")
end
sleep(1000)
local streams = {}
for i = 1, 60 do streams[i] = brief(i % 3, 100, "brief " .. i) end
sleep(2000)
for i = 0, 2 do
  if status(i) and status(i).cold_lease then
    kill("entry-" .. i)
    kv_down()
    start_entry(i, 3)
    break
  end
end
for i = 1, 60 do
  streams[#streams + 1] = brief(i % 3, 100, "later " .. i)
end
sleep(3000)
kv_up()
await("the engines are warm", function()
  for i = 0, 2 do
    if engine_stats(i).cold then
      for entry = 0, 2 do brief(entry, 60) end
      sleep(300)
      return false
    end
  end
  return true
end, 60000)
for i = 0, 2 do
  local stats = engine_stats(i)
  expect(stats.cold_violations == 0, "no violation at engine " .. i)
  expect(stats.falls == 0, "engine " .. i .. " to stand")
end
