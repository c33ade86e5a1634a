-- Invalid requests are refused with the verdict not_run, also a stream resume
-- with a forged token.
deploy(1, 1, 1)
local function expect_refused(path, body, headers, expected)
  local status, text = http(entry_port(0), "POST", path, body, headers)
  expect(status == expected, path .. " " .. body:sub(1, 20) ..
    " to be refused: status " .. tostring(status) .. " instead of " .. expected)
  expect(verdict_of(text) == "not_run", "not_run for " .. body:sub(1, 20))
end
local caller = {["X-Workspace"] = "salon-rennes"}
local nobody = {["X-Workspace"] = "nobody"}
expect_refused("/v1/completions", "{", caller, 400)
expect_refused("/v1/completions", "[]", caller, 400)
expect_refused("/v1/completions", '{"model":"briefs"}', caller, 400)
expect_refused("/v1/completions", '{"model":3,"prompt":"x"}', caller, 400)
expect_refused("/v1/completions", '{"model":"briefs","prompt":"x"}', {}, 400)
expect_refused("/v1/completions", '{"model":"briefs","prompt":"x"}', nobody,
  404)
expect_refused("/v1/completions", '{"model":"none","prompt":"x"}', caller, 404)
expect_refused("/v1/completions",
  '{"model":"briefs","prompt":"x","max_tokens":-1}', caller, 400)
expect_refused("/v1/completions", string.rep("x", 2000000), caller, 413)
expect_refused("/v1/nothing", "{}", caller, 404)
expect_refused("/v1/services/none", "{}", caller, 404)
expect_refused("/v1/services/deposits", "{}",
  {["X-Workspace"] = "salon-rennes", ["Idempotency-Key"] = "1"}, 400)
expect_refused("/v1/completions", "{}",
  {["X-Workspace"] = "salon-rennes", ["Last-Event-ID"] = "a|b|3|c|k.00"}, 400)
local state = await_stream_end(stream_completion(0, 10))
expect(state.done, "a valid request to be served")
expect_no_audit_findings()
