#include <catch2/catch.hpp>

#include "routing/configuration_tracker.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

routing_configuration ConfigurationWithVersion(std::int64_t version) {
  routing_configuration configuration;
  configuration.version = version;
  return configuration;
}

}  // namespace

TEST_CASE("the configuration version never decreases") {
  configuration_tracker tracker;
  CHECK(tracker.UpdateIfNewer(ConfigurationWithVersion(5), At(0)));
  CHECK_FALSE(tracker.UpdateIfNewer(ConfigurationWithVersion(4), At(100)));
  CHECK(tracker.version() == 5);
  CHECK(tracker.UpdateIfNewer(ConfigurationWithVersion(9), At(200)));
  CHECK(tracker.version() == 9);
}

TEST_CASE("confirming an older version does not refresh the held one") {
  configuration_tracker tracker;
  tracker.UpdateIfNewer(ConfigurationWithVersion(5), At(0));
  tracker.UpdateIfNewer(ConfigurationWithVersion(4), At(4000));
  CHECK_FALSE(tracker.IsFresh(At(5000), milliseconds(4000)));
  tracker.Confirm(5, At(4500));
  CHECK(tracker.IsFresh(At(5000), milliseconds(4000)));
}

TEST_CASE("a delayed confirmation does not increase the age") {
  configuration_tracker tracker;
  tracker.UpdateIfNewer(ConfigurationWithVersion(5), At(3000));
  tracker.Confirm(5, At(1000));
  CHECK(tracker.ConfirmationAge(At(3500)) == microseconds(500'000));
}

TEST_CASE("without a configuration nothing is fresh") {
  const configuration_tracker tracker;
  CHECK_FALSE(tracker.IsFresh(At(0), milliseconds(1000)));
  CHECK_FALSE(tracker.ConfirmationAge(At(0)));
}
