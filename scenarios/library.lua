-- Functions for scenario scripts. A deployment has the three failure domains of
-- the Korrigan example. Engines, plain services and entry instances are
-- numbered from 0; number i belongs to domains[i % 3 + 1].

domains = {"rennes", "brest", "vannes"}
local default_timeout_ms = 30000
local signing_keys = "test:000102030405060708090a0b0c0d0e0f"
local entry_names = {}

function platform_port() return first_port end
function engine_port(i) return first_port + 10 + i end
function plain_service_port(i) return first_port + 30 + i end
function entry_port(i) return first_port + 40 + i end
function peer_port(i) return first_port + 60 + i end
function domain_of(i) return domains[i % 3 + 1] end

function expect(condition, text)
  if not condition then error("expected " .. text, 2) end
end

-- Waits until `condition` returns a true value and returns it.
function await(text, condition, timeout_ms)
  local deadline = now() + (timeout_ms or default_timeout_ms)
  while true do
    local value = condition()
    if value then return value end
    if now() > deadline then error("timed out waiting until " .. text, 2) end
    sleep(20)
  end
end

function get_json(port, path)
  local status, body = http(port, "GET", path)
  if status ~= 200 then return nil end
  return json(body)
end

function set_faults(port, text)
  local status = http(port, "POST", "/faults", text)
  expect(status == 200, "the stand-in to accept the faults")
end

function start_platform()
  start("platform", {build_directory .. "/stand_ins/stand_in_platform",
    "--port", tostring(platform_port()), "--list-lag-ms", "500"})
  await("the platform responds",
    function() return get_json(platform_port(), "/stats") end)
end

function start_engine(i, ...)
  start("engine-" .. i, {build_directory .. "/stand_ins/stand_in_engine",
    "--port", tostring(engine_port(i)), "--report-lag-ms", "200",
    "--cold-bearable", "4", ...})
  await("an engine responds",
    function() return get_json(engine_port(i), "/stats") end)
end

function start_plain_service(i)
  start("desk-" .. i, {build_directory .. "/stand_ins/stand_in_plain_service",
    "--port", tostring(plain_service_port(i))})
  await("a plain service responds",
    function() return get_json(plain_service_port(i), "/stats") end)
end

-- Starts a service that sends bytes as they are.
function start_raw_service(name, port)
  start(name, {build_directory .. "/stand_ins/stand_in_raw_service",
    "--port", tostring(port)})
  await("a raw service responds",
    function() return get_json(port, "/requests") end)
end

-- `responses` maps paths to bytes, and "default" to those for other paths.
function set_raw_responses(port, responses)
  local fields = {}
  for path, bytes in pairs(responses) do
    local digits = bytes:gsub(".", function(c) return string.format("%02x", c:byte()) end)
    fields[#fields + 1] = string.format('"%s":"%s"', path, digits)
  end
  expect(http(port, "POST", "/responses", "{" .. table.concat(fields, ",") .. "}") == 200,
    "the raw service to accept its responses")
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
    "--keys", signing_keys, "--test-hooks", "true", ...})
  for _, started in ipairs(entry_names) do
    if started == name then return end
  end
  entry_names[#entry_names + 1] = name
end

function is_ready(i)
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
    "--plain-port", tostring(plain_service_port(0)), "--apply-shown",
    "--author", author})
end

local wistctl_runs = 0
function run_wistctl(...)
  wistctl_runs = wistctl_runs + 1
  return run_tool("control-" .. wistctl_runs,
    {build_directory .. "/src/apps/wistctl", "--platform",
    "127.0.0.1:" .. platform_port(), "--author", "scenario", ...})
end

-- Starts a deployment and waits until its instances are ready and list each
-- other. Further arguments are options of the engines.
function deploy(engines, plain_services, entries, ...)
  start_platform()
  for i = 0, engines - 1 do start_engine(i, ...) end
  for i = 0, plain_services - 1 do start_plain_service(i) end
  expect(apply_configuration("anna") == 0, "the configuration to be accepted")
  for i = 0, entries - 1 do start_entry(i, entries) end
  for i = 0, entries - 1 do
    await("an entry instance is ready", function() return is_ready(i) end)
  end
  await("the instances know each other", function()
    for i = 0, entries - 1 do
      local status = get_json(entry_port(i), "/status")
      if not status or #status.members < entries then return false end
    end
    return true
  end)
  sleep(600)  -- Until the load reports of all engines have arrived.
end

function instance_status(i) return get_json(entry_port(i), "/status") end
function engine_stats(i) return get_json(engine_port(i), "/stats") end
function plain_service_stats(i)
  return get_json(plain_service_port(i), "/stats")
end

local caller = {["X-Workspace"] = "salon-rennes"}

function stream_completion(i, tokens, prompt)
  return open_stream(entry_port(i), "POST", "/v1/completions",
    string.format('{"model":"briefs","prompt":"%s","stream":true,' ..
      '"stand_in_output_tokens":%d}', prompt or "a brief", tokens), caller)
end

function request_completion(i, tokens, prompt)
  return http(entry_port(i), "POST", "/v1/completions",
    string.format('{"model":"briefs","prompt":"%s",' ..
      '"stand_in_output_tokens":%d}', prompt or "a brief", tokens), caller)
end

-- Resumes stream `number` at entry instance `i`.
function resume_completion(number, i)
  local state = stream(number)
  resume_stream(number, entry_port(i), "POST", "/v1/completions", "{}",
    {["X-Workspace"] = "salon-rennes",
     ["Last-Event-ID"] = state.last_event_id})
end

function await_stream_end(number)
  return await("a stream ends", function()
    local state = stream(number)
    return state.ended and state
  end, 60000)
end

function post_deposit(i, idempotency_key, body)
  return http(entry_port(i), "POST", "/v1/services/deposits",
    body or '{"deposit":80}',
    {["X-Workspace"] = "salon-rennes", ["Idempotency-Key"] = idempotency_key})
end

-- Returns the verdict and the code of an error response.
function verdict_of(body)
  local parsed = json(body)
  return parsed and parsed.error and parsed.error.verdict,
    parsed and parsed.error and parsed.error.code
end

function count_runs(idempotency_key, plain_services)
  local runs = 0
  for i = 0, plain_services - 1 do
    local stats = plain_service_stats(i)
    runs = runs + (stats.runs[idempotency_key] or 0)
  end
  return runs
end

function kill_process(name) signal(name, "KILL") end
function suspend_process(name) signal(name, "STOP") end
function continue_process(name) signal(name, "CONT") end
function take_platform_down() set_faults(platform_port(), '{"down":true}') end
function bring_platform_up() set_faults(platform_port(), '{"down":false}') end
function delay_platform(ms)
  set_faults(platform_port(), string.format('{"delay_ms":%d}', ms))
end
function drop_write_responses(count)
  set_faults(platform_port(), string.format('{"lose_write_answers":%d}', count))
end
function turn_engine_cold(i)
  set_faults(engine_port(i), '{"turn_cold":true}')
end

-- Simulates a network partition that isolates a domain from the other domains
-- and from the platform.
function partition_domain(domain, entries)
  set_faults(platform_port(), '{"cut_domains":["' .. domain .. '"]}')
  for i = 0, entries - 1 do
    local unreachable = {}
    for _, other in ipairs(domains) do
      local is_separated = (domain_of(i) == domain) ~= (other == domain)
      if is_separated then
        unreachable[#unreachable + 1] = '"' .. other .. '"'
      end
    end
    http(entry_port(i), "POST", "/test/cut",
      '{"domains":[' .. table.concat(unreachable, ",") .. ']}')
  end
end

function heal_partition(entries)
  set_faults(platform_port(), '{"cut_domains":[]}')
  for i = 0, entries - 1 do
    http(entry_port(i), "POST", "/test/cut", '{"domains":[]}')
  end
end

-- Audits the logs of all entry instances that this scenario started.
function expect_no_audit_findings()
  local findings, text = audit(table.unpack(entry_names))
  expect(findings == 0, "no audit findings, got:\n" .. text)
end
