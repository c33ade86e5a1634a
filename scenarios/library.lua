-- What scenarios are written with. A deployment has Korrigan's three failure
-- domains; engines, desks and entry instances are numbered from 0 and belong
-- to domain (number % 3) + 1.

domains = {"rennes", "brest", "vannes"}
local deadline_ms = 30000
local keys = "test:000102030405060708090a0b0c0d0e0f"
local entry_names = {}

function platform_port() return first_port end
function engine_port(i) return first_port + 10 + i end
function desk_port(i) return first_port + 30 + i end
function entry_port(i) return first_port + 40 + i end
function peer_port(i) return first_port + 60 + i end
function domain_of(i) return domains[i % 3 + 1] end

function expect(condition, text)
  if not condition then error("expected " .. text, 2) end
end

-- Waits until `condition` holds; its first value is returned.
function await(text, condition, limit_ms)
  local give_up = now() + (limit_ms or deadline_ms)
  while true do
    local value = condition()
    if value then return value end
    if now() > give_up then error("waited in vain until " .. text, 2) end
    sleep(20)
  end
end

function get_json(port, path)
  local status, body = http(port, "GET", path)
  if status ~= 200 then return nil end
  return json(body)
end

function faults(port, text)
  local status = http(port, "POST", "/faults", text)
  expect(status == 200, "faults to be set")
end

function start_platform()
  start("platform", {build_directory .. "/stand_ins/stand_in_platform",
    "--port", tostring(platform_port()), "--list-lag-ms", "500"})
  await("the platform answers",
    function() return get_json(platform_port(), "/stats") end)
end

function start_engine(i, ...)
  start("engine-" .. i, {build_directory .. "/stand_ins/stand_in_engine",
    "--port", tostring(engine_port(i)), "--report-lag-ms", "200",
    "--cold-bearable", "4", ...})
  await("an engine answers",
    function() return get_json(engine_port(i), "/stats") end)
end

function start_desk(i)
  start("desk-" .. i, {build_directory .. "/stand_ins/stand_in_plain_service",
    "--port", tostring(desk_port(i))})
  await("a desk answers",
    function() return get_json(desk_port(i), "/stats") end)
end

function start_entry(i, count, ...)
  local peers = {}
  for peer = 0, count - 1 do
    peers[#peers + 1] = "127.0.0.1:" .. peer_port(peer)
  end
  local name = "entry-" .. i
  start(name, {build_directory .. "/src/apps/wisteriatally",
    "--instance", name, "--domain", domain_of(i),
    "--listen", "127.0.0.1:" .. entry_port(i),
    "--peer-listen", "127.0.0.1:" .. peer_port(i),
    "--platform", "127.0.0.1:" .. platform_port(),
    "--seed-peers", table.concat(peers, ","),
    "--keys", keys, "--test-hooks", "true", ...})
  for _, known in ipairs(entry_names) do
    if known == name then return end
  end
  entry_names[#entry_names + 1] = name
end

function ready(i)
  return http(entry_port(i), "GET", "/readyz") == 200
end

function run_tool(name, command)
  start(name, command)
  return await(name .. " ends", function() return exit_code(name) end)
end

function apply_configuration(author)
  return run_tool("apply-" .. author,
    {build_directory .. "/examples/example_korrigan",
    "--platform", "127.0.0.1:" .. platform_port(),
    "--engine-port", tostring(engine_port(0)),
    "--plain-port", tostring(desk_port(0)), "--apply-shown",
    "--author", author})
end

local control_runs = 0
function control(...)
  control_runs = control_runs + 1
  return run_tool("control-" .. control_runs,
    {build_directory .. "/src/apps/wistctl", "--platform",
    "127.0.0.1:" .. platform_port(), "--author", "scenario", ...})
end

-- Starts a whole deployment and waits until it serves.
function deploy(engines, desks, entries, ...)
  start_platform()
  for i = 0, engines - 1 do start_engine(i, ...) end
  for i = 0, desks - 1 do start_desk(i) end
  expect(apply_configuration("anna") == 0, "the configuration to be accepted")
  for i = 0, entries - 1 do start_entry(i, entries) end
  for i = 0, entries - 1 do
    await("an entry instance is ready", function() return ready(i) end)
  end
  await("the instances know each other", function()
    for i = 0, entries - 1 do
      local status = get_json(entry_port(i), "/status")
      if not status or #status.members < entries then return false end
    end
    return true
  end)
  sleep(600)  -- Load reports of all engines have come by then.
end

function status(i) return get_json(entry_port(i), "/status") end
function engine_stats(i) return get_json(engine_port(i), "/stats") end
function desk_stats(i) return get_json(desk_port(i), "/stats") end

local caller = {["X-Workspace"] = "salon-rennes"}

function brief(i, tokens, prompt)
  return open_stream(entry_port(i), "POST", "/v1/completions",
    string.format('{"model":"briefs","prompt":"%s","stream":true,' ..
      '"stand_in_output_tokens":%d}', prompt or "a brief", tokens), caller)
end

function whole_brief(i, tokens, prompt)
  return http(entry_port(i), "POST", "/v1/completions",
    string.format('{"model":"briefs","prompt":"%s",' ..
      '"stand_in_output_tokens":%d}', prompt or "a brief", tokens), caller)
end

function resume(number, i)
  local state = stream(number)
  resume_stream(number, entry_port(i), "POST", "/v1/completions", "{}",
    {["X-Workspace"] = "salon-rennes",
     ["Last-Event-ID"] = state.last_event_id})
end

function await_end(number)
  return await("a stream ends", function()
    local state = stream(number)
    return state.ended and state
  end, 60000)
end

function deposit(i, idempotency_key, body)
  return http(entry_port(i), "POST", "/v1/services/deposits",
    body or '{"deposit":80}',
    {["X-Workspace"] = "salon-rennes", ["Idempotency-Key"] = idempotency_key})
end

function verdict_of(body)
  local parsed = json(body)
  return parsed and parsed.error and parsed.error.verdict,
    parsed and parsed.error and parsed.error.code
end

function runs_of(idempotency_key, desks)
  local runs = 0
  for i = 0, desks - 1 do
    local stats = desk_stats(i)
    runs = runs + (stats.runs[idempotency_key] or 0)
  end
  return runs
end

function kill(name) signal(name, "KILL") end
function freeze(name) signal(name, "STOP") end
function thaw(name) signal(name, "CONT") end
function kv_down() faults(platform_port(), '{"down":true}') end
function kv_up() faults(platform_port(), '{"down":false}') end
function kv_slow(ms)
  faults(platform_port(), string.format('{"delay_ms":%d}', ms))
end
function lose_answer(count)
  faults(platform_port(), string.format('{"lose_write_answers":%d}', count))
end
function turn_cold(i) faults(engine_port(i), '{"turn_cold":true}') end

-- Cuts a domain off from the others and from the platform.
function cut(domain, entries)
  faults(platform_port(), '{"cut_domains":["' .. domain .. '"]}')
  for i = 0, entries - 1 do
    local refused = {}
    for _, other in ipairs(domains) do
      local apart = (domain_of(i) == domain) ~= (other == domain)
      if apart then refused[#refused + 1] = '"' .. other .. '"' end
    end
    http(entry_port(i), "POST", "/test/cut",
      '{"domains":[' .. table.concat(refused, ",") .. ']}')
  end
end

function heal(entries)
  faults(platform_port(), '{"cut_domains":[]}')
  for i = 0, entries - 1 do
    http(entry_port(i), "POST", "/test/cut", '{"domains":[]}')
  end
end

-- Checks the record of all instances of this scenario.
function expect_clean_audit()
  local findings, text = audit(table.unpack(entry_names))
  expect(findings == 0, "no audit finding, got:\n" .. text)
end
