-- A plain service and an engine send bytes that are no response: a status code of
-- 000, a blank or a control byte in the name of a field, a transfer coding that
-- was not requested, a body that ends too early. Callers get an error with the verdict
-- may_have_run, or the response of another target.
start_platform()
start_raw_service("engine-0", engine_port(0))
start_engine(1)
start_raw_service("desk-0", plain_service_port(0))
start_plain_service(1)
expect(apply_configuration("anna") == 0, "the configuration to be accepted")
start_entry(0, 1)
await("the entry instance is ready", function() return is_ready(0) end)
sleep(600)

local caller = {["X-Workspace"] = "salon-rennes"}
local function response(head)
  return head .. "Content-Length: 18\r\n\r\n{\"secret\":\"secret\"}"
end
local invalid = {
  response("HTTP/1.1 000 X\r\n"),
  response("HTTP/1.1 200 OK\r\nX Y: 1\r\n"),
  response("HTTP/1.1 200 OK\r\nX\1: 1\r\n"),
  response("HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n"),
  response("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"),
  response("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"),
  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"secret\":\"secret\"}",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n{\"secret\"",
}

local function received(port, path) return get_json(port, "/requests")[path] or 0 end

-- Posts to a plain service until the raw service has got the call, since it is not
-- used for some time after a failure. Returns that call's status and body.
local function call_raw_service(service, headers)
  return table.unpack(await("the raw service gets a call", function()
    local before = received(plain_service_port(0), "/call")
    local result = {http(entry_port(0), "POST", "/v1/services/" .. service,
      '{"deposit":80}', headers())}
    return received(plain_service_port(0), "/call") > before and result
  end))
end

for _, bytes in ipairs(invalid) do
  set_raw_responses(plain_service_port(0), {["/call"] = bytes})
  local status, body = call_raw_service("deposits", function()
    return {["X-Workspace"] = "salon-rennes", ["Idempotency-Key"] = key()}
  end)
  expect(status == 502, "502 for " .. bytes .. ", got " .. tostring(status))
  expect(verdict_of(body) == "may_have_run", "may_have_run for " .. bytes)
  expect(not body:find("secret", 1, true), "nothing of the response " .. bytes)
  status, body = call_raw_service("calendar", function() return caller end)
  expect(status == 200 and body:find("confirmed", 1, true),
    "the response of another target after " .. bytes .. ", got " .. tostring(status))
end

-- Valid, though unusual.
for _, bytes in ipairs({
  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 \r\nContent-Length: 2\r\n\r\n{}",
  "HTTP/1.0 200 OK\r\nX: \255\r\n\r\n{}",
  "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\nX: 1\r\n\r\n"}) do
  set_raw_responses(plain_service_port(0), {["/call"] = bytes})
  local status, body = call_raw_service("deposits", function()
    return {["X-Workspace"] = "salon-rennes", ["Idempotency-Key"] = key()}
  end)
  expect(status == 200 and body == "{}",
    "the response " .. bytes .. ", got " .. tostring(status))
end

-- The engine's load report is sound, so that it gets generations.
local load_report = "HTTP/1.1 200 OK\r\n\r\n" ..
  '{"age_ms":0,"running":0,"waiting":0,"memory_used":0,"memory_total":40000,"cold":false}'
for _, bytes in ipairs(invalid) do
  set_raw_responses(engine_port(0), {["/load"] = load_report, default = bytes})
  local result = await("the raw engine gets a generation", function()
    local before = received(engine_port(0), "/v1/completions")
    local state = await_stream_end(stream_completion(0, 10, "a brief " .. #bytes))
    return received(engine_port(0), "/v1/completions") > before and state
  end)
  expect(result.done and result.tokens == 10,
    "the generation of another engine after " .. bytes)
end

-- Valid in HTTP, but the stream ends in an orderly way without its last event.
local function sound_response(body)
  return "HTTP/1.1 200 OK\r\nContent-Length: " .. #body .. "\r\n\r\n" .. body
end
set_raw_responses(engine_port(0), {["/load"] = load_report,
  ["/v1/completions"] =
    sound_response('id: 0\ndata: {"choices":[{"text":"x"}]}\n\n'),
  default = sound_response("")})
local state = await("the raw engine begins a generation", function()
  local before = received(engine_port(0), "/v1/completions")
  local ended = await_stream_end(stream_completion(0, 10, "a brief without an end"))
  return received(engine_port(0), "/v1/completions") > before and ended
end)
expect(not state.done and state.tokens == 1, "an incomplete stream")
expect(state.error_body:find('"may_have_run"', 1, true), "the verdict may_have_run")
expect_no_audit_findings()
