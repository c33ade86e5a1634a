#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <vector>

#include "rollout/tests/fleet_simulation.h"

using namespace wist;

namespace {

struct summary {
  int runs = 0;
  int succeeded = 0;
  int succeeded_late = 0;
  int rolled_back = 0;
  int rolled_back_late = 0;
  int undecided = 0;
  int several_decisions = 0;
  int interrupted = 0;
  int over_exposed = 0;
  int over_exposed_before_shift = 0;
  int late = 0;
  double worst_exposure = 0;  // Relative to the allowed one.
  std::vector<double> found_s;
};

summary RunCase(const fleet_case& scenario, int seeds, int first_seed = 1) {
  summary sum;
  for (int seed = first_seed; seed < first_seed + seeds; ++seed) {
    const fleet_result result =
        SimulateFleet(scenario, static_cast<std::uint64_t>(seed));
    ++sum.runs;
    const bool is_late = result.decided_s > scenario.duration_s;
    sum.undecided += !result.decision;
    if (result.decision == rollout_state::succeeded) {
      ++sum.succeeded;
      sum.succeeded_late += is_late;
    } else if (result.decision == rollout_state::rolled_back) {
      ++sum.rolled_back;
      sum.rolled_back_late += is_late;
    }
    sum.several_decisions += result.decisions > 1;
    sum.interrupted += result.interrupted > 0;
    sum.over_exposed += result.exposed > result.Allowed();
    sum.over_exposed_before_shift +=
        result.exposed_before_shift > result.Allowed();
    sum.late += result.late_s > 5;
    sum.worst_exposure =
        std::max(sum.worst_exposure, result.exposed / result.Allowed());
    sum.found_s.push_back(result.found_s);
  }
  std::sort(sum.found_s.begin(), sum.found_s.end());
  return sum;
}

void Print(const fleet_case& scenario, const summary& sum) {
  std::cout
      << fmt::format(
             "{:<30} {:>3} x{:>4}/s runs {:>4} | ok {:>4} late {:>4} | back "
             "{:>4} late {:>4} | none {} | exposed over {:>4} (canary {}) max "
             "{:.2f} | after 50 bad {:>3} | found s {:>4.1f} max {:>4.1f}",
             scenario.name, scenario.instances, scenario.rate, sum.runs,
             sum.succeeded, sum.succeeded_late, sum.rolled_back,
             sum.rolled_back_late, sum.undecided, sum.over_exposed,
             sum.over_exposed_before_shift, sum.worst_exposure, sum.late,
             sum.found_s[sum.found_s.size() / 2], sum.found_s.back())
      << std::endl;
}

const std::vector<std::pair<int, double>> kFleets = {{1, 30},
                                                     {66, 200},
                                                     {300, 600}};

std::vector<fleet_case> GoodCases() {
  const std::vector<std::pair<const char*, condition>> conditions = {
      {"good", condition::calm},
      {"good, noisy route", condition::noisy_route},
      {"good, cold start", condition::cold_start},
      {"good, burst", condition::burst},
      {"good, slow domain", condition::slow_domain},
      {"good, cut domain", condition::cut_domain}};
  std::vector<fleet_case> cases;
  for (const auto& [instances, rate] : kFleets) {
    for (const auto& [name, conditions_of_case] : conditions) {
      fleet_case scenario{name, instances, rate};
      scenario.conditions = conditions_of_case;
      cases.push_back(scenario);
    }
  }
  return cases;
}

std::vector<fleet_case> BadCases() {
  struct fault {
    const char* name;
    double failing;
    double slowdown;
  };
  const std::vector<fault> faults = {{"3 of 100 fail", 0.03, 1},
                                     {"10 of 100 fail", 0.1, 1},
                                     {"50 of 100 fail", 0.5, 1},
                                     {"3 times slower", 0, 3},
                                     {"6 times slower", 0, 6}};
  const std::vector<std::pair<const char*, bad_when>> times = {
      {"", bad_when::always},
      {", after 5 s", bad_when::after_5_s},
      {", above load", bad_when::above_load},
      {", on one route", bad_when::on_one_route}};
  std::vector<fleet_case> cases;
  for (const auto& [instances, rate] : kFleets) {
    for (const auto& [when_name, when] : times) {
      for (const fault& fault : faults) {
        fleet_case scenario{std::string(fault.name) + when_name, instances,
                            rate};
        scenario.failing = fault.failing;
        scenario.slowdown = fault.slowdown;
        scenario.when = when;
        cases.push_back(scenario);
      }
    }
  }
  return cases;
}

int Setting(const char* name, int standard) {
  const char* value = std::getenv(name);
  return value ? std::atoi(value) : standard;
}

}  // namespace

// Guards against good versions that are rolled back, or late, because of what
// happens to both versions.
TEST_CASE("good versions succeed in time") {
  for (const fleet_case& scenario : GoodCases()) {
    const summary sum = RunCase(scenario, 3);
    INFO(scenario.name << ", " << scenario.instances << " instances");
    CHECK(sum.succeeded == sum.runs);
    CHECK(sum.succeeded_late == 0);
    CHECK(sum.several_decisions == 0);
    CHECK(sum.interrupted == 0);
    CHECK(sum.over_exposed_before_shift == 0);
  }
}

// Guards against bad versions that get more than their share, or requests after
// the time for a rollback. A version that turns bad under load gets the full
// traffic until it is found.
TEST_CASE("bad versions are rolled back within the permitted exposure") {
  for (const fleet_case& scenario : BadCases()) {
    const bool is_clear = scenario.failing >= 0.5 || scenario.slowdown >= 3;
    if (scenario.instances == 1 || !is_clear)
      continue;
    const summary sum = RunCase(scenario, 2);
    INFO(scenario.name << ", " << scenario.instances << " instances");
    CHECK(sum.rolled_back == sum.runs);
    CHECK(sum.rolled_back_late == 0);
    CHECK(sum.several_decisions == 0);
    CHECK(sum.late == 0);
    CHECK(sum.over_exposed_before_shift == 0);
    if (scenario.when != bad_when::above_load)
      CHECK(sum.over_exposed == 0);
  }
}

// Prints the whole decision table: WIST_ROLLOUT_SEEDS runs of each case, of the
// cases whose number is WIST_ROLLOUT_PART modulo WIST_ROLLOUT_PARTS.
TEST_CASE("decision table", "[.table]") {
  std::vector<fleet_case> cases = GoodCases();
  for (const fleet_case& scenario : BadCases())
    cases.push_back(scenario);
  const int parts = Setting("WIST_ROLLOUT_PARTS", 1);
  for (std::size_t i = 0; i < cases.size(); ++i) {
    if (static_cast<int>(i) % parts == Setting("WIST_ROLLOUT_PART", 0))
      Print(cases[i], RunCase(cases[i], Setting("WIST_ROLLOUT_SEEDS", 1000)));
  }
}
