-- A failure domain that is taken out gets no new requests after three seconds,
-- also from its own instance, whose callers are served by other domains. Its
-- targets come back cold and get requests again.
deploy(6, 0, 3)
local function received()
  return engine_stats(0).received + engine_stats(3).received
end
for i = 1, 12 do request_completion(i % 3, 5) end
expect(run_wistctl("domain", "out", "rennes") == 0,
  "the domain to be taken out")
sleep(3000)
local before = received()
for i = 1, 30 do request_completion(1 + i % 2, 5) end
expect(received() == before, "no new requests in the domain")
for i = 1, 3 do
  local status = request_completion(0, 5)
  expect(status == 200, "callers of the domain to be served by other domains")
end
expect(received() == before, "no new requests in the domain")
expect(run_wistctl("domain", "in", "rennes") == 0,
  "the domain to be put back in")
await("the domain gets requests again", function()
  for i = 1, 10 do request_completion(0, 5) end
  return received() > before
end)
expect_no_audit_findings()
