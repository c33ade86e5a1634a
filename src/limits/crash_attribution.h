#ifndef LIMITS_CRASH_ATTRIBUTION_H_
#define LIMITS_CRASH_ATTRIBUTION_H_

#include <cstddef>
#include <vector>

#include "framework/base/time_types.h"
#include "limits/crash_types.h"

namespace wist {

// A crash of a target and, for each run on it, what may have caused the crash:
// the suspects with which no run has produced output since.
struct observed_crash {
  timestamp at;
  std::vector<suspect_set> runs;

  auto operator<=>(const observed_crash&) const = default;
};

// What is known about recent crashes, ordered by time.
struct crash_observations {
  std::vector<observed_crash> crashes;
  // The suspects that are whole requests; the others are parts of prompts.
  suspect_set requests;
  // The suspects with which runs produced output before the crashes.
  suspect_set proven;

  auto operator<=>(const crash_observations&) const = default;
};

struct attribution_settings {
  // Crashes after which a suspect is held responsible.
  std::size_t min_crashes = 3;
  // The same for a suspect with which runs produced output before the crashes.
  // What crashed targets then is probably something else.
  std::size_t min_crashes_of_proven = 5;
  // Further crashes that are awaited while several suspects explain the same
  // crashes and never came in one request.
  std::size_t crashes_to_tell_apart = 2;
  // Crashes closer together than this count as one: when many targets fail at
  // once, the runs on them are unlikely to be the cause.
  milliseconds correlated_window{200};
  // The same for whole requests.
  milliseconds correlated_window_of_requests{200};

  auto operator<=>(const attribution_settings&) const = default;
};

// Returns the sets of suspects that explain the crashes, the one that explains
// most first. In each crash that a set explains, one run had all of its
// suspects.
std::vector<suspect_set> AttributeCrashes(
    const crash_observations& observations,
    const attribution_settings& settings);

}  // namespace wist

#endif  // LIMITS_CRASH_ATTRIBUTION_H_
