#ifndef BENCH_BALANCE_FLEET_MODEL_H_
#define BENCH_BALANCE_FLEET_MODEL_H_

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "engine_model.h"
#include "selection/target_selector.h"

namespace wist::bench {

struct fleet_settings {
  int instances = 64;
  int engines = 57;
  int domains = 3;
  // Interval between the reports that an instance receives, and how long each
  // was on its way.
  microseconds report_interval{50'000};
  microseconds report_delay{50'000};
  double report_loss = 0;
  // Whether one domain is cut off in the middle third.
  bool is_partitioned = false;
  // Speeds of the engines, in turn.
  std::vector<double> speeds{1};
  double requests_per_engine_second = 2.2;
  double long_share = 0.25;
  int seconds = 20;
  std::uint32_t seed = 1;
};

struct fleet_result {
  // Fraction of the engines' time over batch or memory while another engine of
  // the domain had room for the first request in the queue.
  double avoidable_overload = 0;
  double queue_ms_per_request = 0;
  double first_event_p50_ms = 0;
  double first_event_p99_ms = 0;
  // Mean time to the first event on the slowest engines, as a ratio to that on
  // the fastest.
  double slow_to_fast_ratio = 0;
  // Requests of the busiest engine, as a ratio to the mean.
  double busiest_ratio = 0;
  // Fraction of the requests sent to another failure domain.
  double other_domain = 0;
  double refused = 0;
  double choice_us = 0;
};

// A way to choose among the engines.
struct alternative {
  std::string name;
  std::function<target_chooser(int instance, int instances)> make_chooser;
  bool weighs_prefill_speeds = true;
};

// Runs the instances' target selectors and the engines on a virtual clock.
fleet_result RunFleet(const fleet_settings& settings, const alternative& tried);

}  // namespace wist::bench

#endif  // BENCH_BALANCE_FLEET_MODEL_H_
