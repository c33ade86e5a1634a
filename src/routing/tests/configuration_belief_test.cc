#include <catch2/catch.hpp>

#include "routing/configuration_belief.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

routing_configuration Version(std::int64_t version) {
  routing_configuration configuration;
  configuration.version = version;
  return configuration;
}

}  // namespace

TEST_CASE("a configuration never goes back") {
  configuration_belief belief;
  CHECK(belief.Offer(Version(5), At(0)));
  CHECK_FALSE(belief.Offer(Version(4), At(100)));
  CHECK(belief.version() == 5);
  CHECK(belief.Offer(Version(9), At(200)));
  CHECK(belief.version() == 9);
}

TEST_CASE("word of an older version does not refresh the one held") {
  configuration_belief belief;
  belief.Offer(Version(5), At(0));
  belief.Offer(Version(4), At(4000));
  CHECK_FALSE(belief.IsFresh(At(5000), milliseconds(4000)));
  belief.Confirm(5, At(4500));
  CHECK(belief.IsFresh(At(5000), milliseconds(4000)));
}

TEST_CASE("a late confirmation does not make the belief older") {
  configuration_belief belief;
  belief.Offer(Version(5), At(3000));
  belief.Confirm(5, At(1000));
  CHECK(belief.Age(At(3500)) == microseconds(500'000));
}

TEST_CASE("without a configuration nothing is fresh") {
  const configuration_belief belief;
  CHECK_FALSE(belief.IsFresh(At(0), milliseconds(1000)));
  CHECK_FALSE(belief.Age(At(0)));
}
