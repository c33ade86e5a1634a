-- An accepted configuration is in force everywhere, and stays when the store
-- comes back older, when an instance restarts in an outage, and when two
-- operators race.
deploy(1, 0, 3)
local revision = get_json(platform_port(), "/stats").revision
expect(control("target", "leave", "design-10") == 0, "a change")
local function all_at(version)
  return await("version " .. version .. " is in force everywhere", function()
    for i = 0, 2 do
      local seen = status(i)
      if not seen or seen.configuration ~= version then return false end
    end
    return true
  end, 15000)
end
all_at(2)
faults(platform_port(), '{"roll_back_to":' .. revision .. '}')
await("the store holds the newer one again", function()
  local entry = get_json(platform_port(), "/kv/wisteriatally%2Fconfiguration")
  return entry and json(entry.value).version == 2
end)
all_at(2)

kv_down()
kill("entry-2")
start_entry(2, 3)
await("it learned from its peers", function()
  local seen = status(2)
  return seen and seen.ready and seen.configuration == 2
end)
kv_up()

start("racer-1", {build_directory .. "/src/apps/wistctl", "--platform",
  "127.0.0.1:" .. platform_port(), "--author", "bert", "target", "leave",
  "design-8"})
start("racer-2", {build_directory .. "/src/apps/wistctl", "--platform",
  "127.0.0.1:" .. platform_port(), "--author", "cleo", "target", "leave",
  "design-9"})
local first = await("one ends", function() return exit_code("racer-1") end)
local second = await("two ends", function() return exit_code("racer-2") end)
local expected = 2 + (first == 0 and 1 or 0) + (second == 0 and 1 or 0)
expect(first == 0 or second == 0, "one operator to win")
all_at(expected)
lose_answer(1)
expect(control("target", "return", "design-10") == 0,
  "a lost answer to be settled")
all_at(expected + 1)
