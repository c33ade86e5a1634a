#include <catch2/catch.hpp>

#include "limits/window_retry_budget.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

}  // namespace

TEST_CASE("all instances together stay within the retry budget") {
  constexpr std::size_t kInstances = 8;
  const retry_window_settings settings{milliseconds(10'000), 0.2, 40};
  int requests = 0;
  int retries = 0;
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    window_retry_budget budget(settings);
    for (std::int64_t i = 0; i < 100; ++i) {
      budget.OnRequest(At(i * 50));
      ++requests;
      while (budget.TryConsumeRetry(kInstances, At(i * 50)))
        ++retries;
    }
  }
  CHECK(retries <= 0.2 * requests + 40);
  CHECK(retries >= 0.5 * (0.2 * requests + 40));
}

TEST_CASE("retries become available again as the window slides") {
  window_retry_budget budget({milliseconds(1000), 0, 2});
  CHECK(budget.TryConsumeRetry(1, At(0)));
  CHECK_FALSE(budget.TryConsumeRetry(1, At(500)));
  CHECK(budget.TryConsumeRetry(1, At(1000)));
}
