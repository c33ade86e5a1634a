// Compares ways of choosing an engine by old loads: the selectors of all
// instances and the engines run on a virtual clock.
//   balance [SECONDS [SEED [FLEET]]]

#include <fmt/format.h>

#include <cmath>
#include <cstdlib>
#include <numeric>

#include "fleet_model.h"
#include "framework/base/hashing.h"

namespace wist::bench {
namespace {

using candidates = std::vector<choice_candidate>;

double Uniform(std::minstd_rand& random, double limit) {
  return std::uniform_real_distribution<double>(0, limit)(random);
}

std::size_t Cheapest(const candidates& all) {
  return static_cast<std::size_t>(
      std::min_element(
          all.begin(), all.end(),
          [](const auto& a, const auto& b) { return a.cost < b.cost; }) -
      all.begin());
}

// The rule before: the cheapest after a random cost for each candidate.
target_chooser JitteredCheapest(int instances) {
  return [limit = std::min(0.002 * instances, 0.25)](const candidates& all,
                                                     const unseen_starts&,
                                                     std::minstd_rand& random) {
    candidates jittered = all;
    for (choice_candidate& candidate : jittered)
      candidate.cost += Uniform(random, limit);
    return Cheapest(jittered);
  };
}

// The cheapest of `count` random candidates.
target_chooser CheapestOf(int count) {
  return [count](const candidates& all, const unseen_starts&,
                 std::minstd_rand& random) {
    std::size_t best = all.size();
    for (int i = 0; i < count; ++i) {
      const auto index =
          std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(random);
      if (best == all.size() || all[index].cost < all[best].cost)
        best = index;
    }
    return best;
  };
}

std::size_t PickByWeight(const std::vector<double>& weights,
                         std::minstd_rand& random) {
  double point =
      Uniform(random, std::accumulate(weights.begin(), weights.end(), 0.0));
  for (std::size_t i = 0; i < weights.size(); ++i) {
    point -= weights[i];
    if (point <= 0)
      return i;
  }
  return weights.size() - 1;
}

// In proportion to the part of the cost that is left below `full`.
std::size_t ByFreeRoom(const candidates& all,
                       const unseen_starts&,
                       std::minstd_rand& random) {
  constexpr double kFull = 1.4;
  std::vector<double> weights;
  for (const choice_candidate& candidate : all)
    weights.push_back(std::max(kFull - candidate.cost, 0.01));
  return PickByWeight(weights, random);
}

// Probabilities that fall exponentially with the cost, the faster the fewer
// unseen starts there are for each candidate.
std::size_t Exponential(const candidates& all,
                        const unseen_starts& unseen,
                        std::minstd_rand& random) {
  const double lowest = all[Cheapest(all)].cost;
  const double temperature =
      std::max(0.005, all[0].cost_per_run * (unseen.near + unseen.far) /
                          static_cast<double>(all.size()));
  std::vector<double> weights;
  for (const choice_candidate& candidate : all)
    weights.push_back(std::exp((lowest - candidate.cost) / temperature));
  return PickByWeight(weights, random);
}

// The cheapest of the instance's own subset, the other engines at a higher
// cost.
target_chooser Subset(int instance, std::size_t size) {
  return [instance, size](const candidates& all, const unseen_starts&,
                          std::minstd_rand& random) {
    candidates preferred = all;
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    for (std::size_t i = 0; i < all.size(); ++i)
      ranks.push_back({StableHash(fmt::format("{}/{}", instance,
                                              all[i].target->entry.id.text())),
                       i});
    std::sort(ranks.begin(), ranks.end());
    for (std::size_t i = 0; i < ranks.size(); ++i)
      preferred[ranks[i].second].cost +=
          Uniform(random, 0.016) + (i < size ? 0 : 0.2);
    return Cheapest(preferred);
  };
}

target_chooser Scaled(double factor) {
  return [factor](const candidates& all, const unseen_starts& unseen,
                  std::minstd_rand& random) {
    return ChooseByExpectedStarts(
        all, {unseen.near * factor, unseen.far * factor}, random);
  };
}

std::vector<alternative> Alternatives() {
  return {
      {"before", [](int, int instances) { return JitteredCheapest(instances); },
       false},
      {"best_of_2", [](int, int) { return CheapestOf(2); }, false},
      {"best_of_5", [](int, int) { return CheapestOf(5); }, false},
      {"free_room", [](int, int) { return ByFreeRoom; }, false},
      {"subset_8", [](int instance, int) { return Subset(instance, 8); },
       false},
      {"exponential", [](int, int) { return Exponential; }, false},
      {"starts", [](int, int) { return ChooseByExpectedStarts; }, false},
      {"starts_doubled", [](int, int) { return Scaled(2); }, false},
      {"starts_speeds", [](int, int) { return ChooseByExpectedStarts; }},
  };
}

struct scenario {
  std::string name;
  fleet_settings settings;
};

std::vector<scenario> Scenarios() {
  using ms = milliseconds;
  std::vector<scenario> all;
  const auto add = [&](const std::string& name, int instances, int engines,
                       int domains, int age_ms) -> fleet_settings& {
    fleet_settings settings;
    settings.instances = instances;
    settings.engines = engines;
    settings.domains = domains;
    settings.report_interval = ms(age_ms / 2);
    settings.report_delay = ms(age_ms / 2);
    all.push_back({name, settings});
    return all.back().settings;
  };
  add("8x9 0.1s", 8, 9, 3, 100).seconds = 400;
  add("8x9 0.5s", 8, 9, 3, 500).seconds = 400;
  add("64x57 0.1s", 64, 57, 3, 100);
  add("64x57 0.5s", 64, 57, 3, 500);
  add("64x57 2s", 64, 57, 3, 2000);
  add("64x57 0.1s speeds", 64, 57, 3, 100).speeds = {0.7, 0.7, 1.7};
  add("64x57 0.5s speeds", 64, 57, 3, 500).speeds = {0.7, 0.7, 1.7};
  add("300x60 0.5s speeds", 300, 60, 6, 500).speeds = {0.7, 0.7, 1.7};
  add("64x57 0.1s busy", 64, 57, 3, 100).requests_per_engine_second = 2.8;
  {
    fleet_settings& busy = add("8x9 0.1s busy", 8, 9, 3, 100);
    busy.requests_per_engine_second = 2.8;
    busy.seconds = 400;
  }
  add("300x60 0.1s busy", 300, 60, 6, 100).requests_per_engine_second = 2.8;
  add("64x57 0.5s lost", 64, 57, 3, 500).report_loss = 0.2;
  add("64x57 0.1s cut", 64, 57, 3, 100).is_partitioned = true;
  add("300x60 0.1s", 300, 60, 6, 100);
  add("300x60 0.5s", 300, 60, 6, 500);
  add("300x60 2s", 300, 60, 6, 2000);
  add("300x770 0.5s", 300, 770, 6, 500).seconds = 8;
  return all;
}

void Run(int seconds, std::uint32_t seed, const std::string& only) {
  fmt::print(
      "{:20} {:16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
      "fleet", "rule", "overload", "queue_ms", "p50_ms", "p99_ms", "slow:fast",
      "busiest", "abroad", "refused", "cpu_us");
  for (scenario& scenario : Scenarios()) {
    if (scenario.name.find(only) == std::string::npos)
      continue;
    scenario.settings.seed = seed;
    scenario.settings.seconds = std::min(seconds, scenario.settings.seconds);
    for (const alternative& alternative : Alternatives()) {
      const fleet_result result = RunFleet(scenario.settings, alternative);
      fmt::print(
          "{:20} {:16} {:8.4f} {:8.1f} {:8.0f} {:8.0f} {:8.2f} {:8.2f} "
          "{:8.4f} {:8.4f} {:8.1f}\n",
          scenario.name, alternative.name, result.avoidable_overload,
          result.queue_ms_per_request, result.first_event_p50_ms,
          result.first_event_p99_ms, result.slow_to_fast_ratio,
          result.busiest_ratio, result.other_domain, result.refused,
          result.choice_us);
      std::fflush(stdout);
    }
  }
}

}  // namespace
}  // namespace wist::bench

int main(int argc, char** argv) {
  wist::bench::Run(
      argc > 1 ? std::atoi(argv[1]) : 20,
      argc > 2 ? static_cast<std::uint32_t>(std::atoi(argv[2])) : 1,
      argc > 3 ? argv[3] : "");
}
