#include <catch2/catch.hpp>

#include "selection/tests/mocks/brittle_fleet.h"

// Guards against targets that fall over under a crowd: requests exceed the room
// of targets that let fewer wait from 3 s after they have stated that they are
// brittle, and that fail if they have to refuse more than some in a second.

using namespace wist;

namespace {

brittle_fleet_settings Fleet(int instances) {
  brittle_fleet_settings settings;
  settings.instances = instances;
  settings.run_time = milliseconds(100);
  settings.stated_at = milliseconds(500);
  settings.restricted_at = milliseconds(3500);
  settings.sound_at = milliseconds(6000);
  settings.end = milliseconds(6200);
  if (instances >= 100) {
    settings.targets = 30;
    settings.report_age = milliseconds(30);
  }
  if (instances >= 300) {
    settings.targets = 40;
    settings.report_age = milliseconds(40);
    settings.report_interval = milliseconds(20);
  }
  return settings;
}

brittle_fleet_result CheckFalls(const brittle_fleet_settings& settings) {
  const brittle_fleet_result result = brittle_fleet(settings).Run();
  INFO(settings.instances << " instances, demand " << settings.demand
                          << ", tolerated " << settings.tolerated_refusals
                          << ", waiting " << settings.restricted_waiting
                          << ": most refusals in a second "
                          << result.most_refusals_in_a_second << ", served "
                          << result.served << " of " << result.requests);
  CHECK(result.falls <= 2 + settings.targets / 10.0);
  // As long as the exchange waits for room.
  CHECK(result.longest_refusal_ms <= 25 + 5);
  return result;
}

}  // namespace

TEST_CASE("brittle targets stay up under a crowd, at 8 to 300 instances") {
  for (const int instances : {8, 100, 300}) {
    const auto result = CheckFalls(Fleet(instances));
    CHECK(result.used_capacity >= 0.5);
  }
}

TEST_CASE("a crowd that is not limited lets brittle targets fall over") {
  brittle_fleet_settings settings = Fleet(8);
  settings.applies_statements = false;
  CHECK(brittle_fleet(settings).Run().falls > 2 + settings.targets / 10.0);
}

TEST_CASE("requests below the capacity of brittle targets are served") {
  for (const int instances : {8, 300}) {
    brittle_fleet_settings settings = Fleet(instances);
    settings.demand = 0.5;
    const auto result = CheckFalls(settings);
    CHECK(result.served >= result.requests / 2);
  }
}

TEST_CASE("targets that let none wait or tolerate few refusals stay up") {
  for (const auto& [instances, tolerated] :
       {std::pair{8, 0}, {8, 1}, {8, 3}, {8, 8}, {100, 1}, {100, 8}}) {
    brittle_fleet_settings settings = Fleet(instances);
    settings.tolerated_refusals = tolerated;
    settings.restricted_waiting = 0;
    CHECK(CheckFalls(settings).used_capacity >= 0.5);
  }
}

TEST_CASE("brittle targets stay up while reports of loads are lost") {
  brittle_fleet_settings settings = Fleet(100);
  settings.loses_reports = true;
  CheckFalls(settings);
}

TEST_CASE("brittle targets stay up if only some responses state it") {
  brittle_fleet_settings settings = Fleet(100);
  settings.stating_share = 0.2;
  CheckFalls(settings);
}
