#ifndef ROLLOUT_TESTS_FLEET_SIMULATION_H_
#define ROLLOUT_TESTS_FLEET_SIMULATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "rollout/rollout_types.h"

namespace wist {

// When a bad version is bad.
enum class bad_when { always, after_5_s, above_load, on_one_route };

// Conditions under which both versions serve.
enum class condition {
  calm,
  noisy_route,  // 14 of 100 responses on one route fail.
  cold_start,   // Targets of the new version are cold, and slow, for 3 s.
  burst,        // For 2 s five times the requests, slower, some failing.
  slow_domain,  // Holds most targets of the new version, few of the old one.
  cut_domain    // Half the responses of one domain fail for 2 s.
};

struct fleet_case {
  std::string name;
  int instances = 1;
  double rate = 100;  // Requests per second over all instances.
  double duration_s = 12;
  double failing = 0;  // Probability that a response of the new version fails.
  double slowdown = 1;
  bad_when when = bad_when::always;
  condition conditions = condition::calm;

  bool IsBad() const { return failing > 0 || slowdown > 1; }
};

struct fleet_result {
  std::optional<rollout_state>
      decision;          // Nothing if there is none at the end.
  int decisions = 0;     // Final states written; more than one is an error.
  double decided_s = 0;  // Since the roll-out request.
  int requests = 0;      // Until the deadline.
  int exposed = 0;       // Of these and of moved runs, on the new version.
  int exposed_before_shift = 0;
  // Time from the 50th bad response to the last request for the new version.
  double late_s = 0;
  // From when the version turned bad to the last request for it.
  double found_s = 0;
  int interrupted = 0;  // Runs on old targets at `succeeded`.

  double Allowed() const { return 0.1 * requests + 50; }
};

// Simulates one roll-out on a virtual clock. Reports are up to 2 s old and the
// status takes up to 1 s to reach an instance. Instances are simulated in up to
// 16 groups of which each acts on one tracker.
fleet_result SimulateFleet(const fleet_case& scenario, std::uint64_t seed);

}  // namespace wist

#endif  // ROLLOUT_TESTS_FLEET_SIMULATION_H_
