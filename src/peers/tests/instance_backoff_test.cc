#include <catch2/catch.hpp>

#include "peers/instance_backoff.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

}  // namespace

TEST_CASE("the time without an instance doubles with its failures") {
  instance_backoff backoff;
  CHECK(backoff.IsUsable("a", At(0)));
  std::int64_t now = 0;
  for (const std::int64_t expected : {2000, 4000, 8000, 16'000, 16'000}) {
    backoff.OnFailure("a", At(now));
    CHECK_FALSE(backoff.IsUsable("a", At(now + expected - 1)));
    CHECK(backoff.Unusable(At(now)).contains("a"));
    CHECK(backoff.IsUsable("a", At(now + expected)));
    CHECK(backoff.IsUsable("b", At(now)));
    now += expected;
  }
}

TEST_CASE("a success or a long time without a failure starts anew") {
  instance_backoff backoff;
  backoff.OnFailure("a", At(0));
  backoff.OnSuccess("a");
  CHECK(backoff.IsUsable("a", At(0)));
  backoff.OnFailure("a", At(0));
  CHECK(backoff.IsUsable("a", At(2000)));
  backoff.OnFailure("a", At(62'000));
  CHECK(backoff.IsUsable("a", At(64'000)));
}
