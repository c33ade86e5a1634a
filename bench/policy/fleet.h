#ifndef BENCH_POLICY_FLEET_H_
#define BENCH_POLICY_FLEET_H_

#include <cstdint>
#include <string>

#include "admission/admission_types.h"
#include "bench/policy/run_metrics.h"
#include "stand_ins/engine/engine_types.h"

namespace wist::bench {

// Parameters of one simulation run.
struct run_settings {
  std::string deployment = "korrigan";
  std::string policy = "forecast";
  std::string event = "none";
  std::uint64_t seed = 1;
  double load = 0.9;  // Fraction of the total engine capacity.
  double seconds = 120;
  double warm_up_seconds = 20;
  milliseconds tally_interval{50};
  stand_ins::engine_settings engine;
  admission_settings admission;
};

// Simulates all instances and engines of a deployment on a virtual clock.
run_metrics SimulateFleet(const run_settings& settings);

}  // namespace wist::bench

#endif  // BENCH_POLICY_FLEET_H_
