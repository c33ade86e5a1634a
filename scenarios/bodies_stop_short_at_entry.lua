-- Sixty clients send bodies of the largest size to an entry instance and stop one
-- byte short, with a length and in chunks. The instance stays within a bound on its
-- memory and answers an ordinary client meanwhile.
-- runs: alone
local memory_bound_mb = 128
local clients = 60
local body_bytes = 4194304
local kilobyte = string.rep("x", 1024)

start_platform()
start_engine(0)
start_plain_service(0)
expect(apply_configuration("anna") == 0, "the configuration to be accepted")
start_entry(0, 1, "--max-body-bytes", tostring(body_bytes), "--max-streams", "100")
await("the entry instance is ready", function() return is_ready(0) end)
sleep(600)

local function head(framing)
  return "POST /v1/services/deposits HTTP/1.1\r\nHost: h\r\n" ..
    "X-Workspace: salon-rennes\r\n" .. framing .. "\r\n\r\n"
end

local function check(name, send)
  local crowd = {}
  for i = 1, clients do
    crowd[i] = raw_open(entry_port(0))
    send(crowd[i])
  end
  local memory, last, idle_since = 0, -1, now()
  while now() - idle_since < 1000 do
    raw_pump(50)
    expect(not exit_code("entry-0"), "the instance to run on")
    memory = math.max(memory, resident_memory_mb("entry-0") + receive_queues_mb("entry-0"))
    local unsent = 0
    for _, connection in ipairs(crowd) do
      unsent = unsent + raw_state(connection).unsent_bytes
    end
    if unsent ~= last then last, idle_since = unsent, now() end
  end
  memory = math.max(memory, peak_memory_mb("entry-0"))
  print(string.format("%s, MB: %.1f, bound %.1f", name, memory, memory_bound_mb))
  expect(memory < memory_bound_mb, "memory below the bound, got " .. memory)
  await("an ordinary request is answered", function()
    return request_completion(0, 4) == 200
  end)
  for _, connection in ipairs(crowd) do raw_close(connection) end
end

check("with a length", function(connection)
  raw_send(connection, head("Content-Length: " .. body_bytes))
  raw_send(connection, kilobyte, body_bytes // 1024 - 1)
  raw_send(connection, "x", 1023)
end)
check("in chunks", function(connection)
  raw_send(connection, head("Transfer-Encoding: chunked"))
  raw_send(connection, "400\r\n" .. kilobyte .. "\r\n", body_bytes // 1024)
end)
