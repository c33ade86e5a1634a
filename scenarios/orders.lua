-- Orders reach their engines, which accept them without a fencing check. A
-- second issuer right after the first is refused while the lease of the first is
-- valid.
deploy(2, 0, 1)
expect(run_wistctl("order", "design-1", "load-model", "design-7b", "3") == 0,
  "the order to be accepted")
expect(run_wistctl("order", "design-2", "change-role", "prefill") == 0,
  "the order to be accepted without a fencing check")
expect(engine_stats(0).orders == 1 and engine_stats(1).orders == 1,
  "one order at each engine")
expect(run_wistctl("order", "design-2", "change-role", "decode") == 1,
  "the second issuer to be refused while the lease is held")
expect(engine_stats(1).orders == 1, "no second order at the engine")
