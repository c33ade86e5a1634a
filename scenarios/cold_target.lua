-- Three instances together send a cold engine no more requests than it can
-- hold, also when the cold start coordinator is killed and the platform is
-- down. The requests that are sent warm the engines up.
deploy(0, 0, 3)
for i = 0, 2 do
  start_engine(i, "--starts-cold", "--warm-up-tokens", "3000",
    "--step-base-us", "5000")
end
sleep(1000)
local streams = {}
for i = 1, 60 do streams[i] = stream_completion(i % 3, 100, "brief " .. i) end
sleep(2000)
for i = 0, 2 do
  if instance_status(i) and instance_status(i).cold_lease then
    kill_process("entry-" .. i)
    take_platform_down()
    start_entry(i, 3)
    break
  end
end
for i = 1, 60 do
  streams[#streams + 1] = stream_completion(i % 3, 100, "later " .. i)
end
sleep(3000)
bring_platform_up()
await("all engines are warm", function()
  for i = 0, 2 do
    if engine_stats(i).cold then
      for entry = 0, 2 do stream_completion(entry, 60) end
      sleep(300)
      return false
    end
  end
  return true
end, 60000)
for i = 0, 2 do
  local stats = engine_stats(i)
  expect(stats.cold_violations == 0,
    "no violation of the cold limit at engine " .. i)
  expect(stats.falls == 0, "engine " .. i .. " not to crash")
end
