-- A target that is leaving gets no new requests after three seconds, and its
-- running generations finish.
deploy(2, 0, 2, "--step-base-us", "20000")
local long = {stream_completion(0, 200, "one"),
  stream_completion(1, 200, "two"), stream_completion(0, 200, "3")}
await("the streams have begun", function()
  return stream(long[1]).tokens > 3 and stream(long[2]).tokens > 3
end)
expect(run_wistctl("target", "leave", "design-1") == 0, "the target to leave")
sleep(3000)
local before = engine_stats(0).received
for i = 1, 20 do request_completion(i % 2, 5) end
expect(engine_stats(0).received == before, "no new requests at the target")
for _, number in ipairs(long) do
  expect(await_stream_end(number).done, "the running streams to complete")
end
expect_no_audit_findings()
