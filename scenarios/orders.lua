-- Orders reach engines that check fencing numbers and engines that do not; a
-- second issuer right behind the first is held back while the lease stands.
deploy(2, 0, 1)
expect(control("order", "design-1", "load-model", "design-7b", "3") == 0,
  "an order to be taken")
expect(control("order", "design-2", "change-role", "prefill") == 0,
  "an order to be taken without fencing")
expect(engine_stats(0).orders == 1 and engine_stats(1).orders == 1,
  "one order each")
expect(control("order", "design-2", "change-role", "decode") == 1,
  "a second issuer to be held back")
expect(engine_stats(1).orders == 1, "no further order")
