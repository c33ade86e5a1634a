-- A domain is taken out while a network partition isolates it from the platform
-- and the other domains. No instance outside sends requests into it. Inside, it
-- continues to serve its own callers until it learns of the change, as the
-- operators' documentation states.
deploy(6, 0, 3)
for i = 1, 12 do request_completion(i % 3, 5) end
partition_domain("rennes", 3)
expect(run_wistctl("domain", "out", "rennes") == 0,
  "the domain to be taken out")
sleep(3000)
local before = engine_stats(0).received + engine_stats(3).received
for i = 1, 30 do
  expect(request_completion(1 + i % 2, 5) == 200,
    "the other domains to serve requests")
end
expect(engine_stats(0).received + engine_stats(3).received == before,
  "no new requests from outside")
expect(request_completion(0, 5) == 200,
  "the partitioned domain to serve its callers")
heal_partition(3)
await("the change is in effect in the domain", function()
  return instance_status(0).configuration == 2
end)
sleep(500)
before = engine_stats(0).received + engine_stats(3).received
for i = 1, 10 do request_completion(0, 5) end
expect(engine_stats(0).received + engine_stats(3).received == before,
  "no new requests in the domain after it learned of the change")
