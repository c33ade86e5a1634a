#include <catch2/catch.hpp>

#include "selection/prefill_estimator.h"

using namespace wist;

TEST_CASE("the prefill time is estimated from times to first output") {
  prefill_estimator estimator;
  for (int i = 0; i < 200; ++i)
    estimator.OnFirstOutput(3000, milliseconds(600));
  const double estimate = ToMilliseconds(estimator.EstimateTime(6000));
  CHECK(estimate > 1150);
  CHECK(estimate < 1250);
}

TEST_CASE("a single wait for memory hardly changes the prefill estimate") {
  prefill_estimator estimator;
  const microseconds before = estimator.EstimateTime(3000);
  estimator.OnFirstOutput(3000, seconds(20));
  CHECK(estimator.EstimateTime(3000) < before * 11 / 10);
  estimator.OnFirstOutput(0, seconds(20));
  CHECK(estimator.EstimateTime(3000) < before * 11 / 10);
}
