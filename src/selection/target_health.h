#ifndef SELECTION_TARGET_HEALTH_H_
#define SELECTION_TARGET_HEALTH_H_

#include <optional>

#include "selection/selection_types.h"

namespace wist {

// How a target answered lately. Reads no clock.
class target_health {
 public:
  void OnEnd(run_end end, microseconds took, timestamp now);

  // A run broke before its first output.
  void OnEarlyBreak(timestamp now);

  // Part of recent requests that the target spoilt, in [0, 1].
  double failure_share() const { return failure_share_; }

  // Smoothed time of whole answers; nothing before the first.
  std::optional<double> latency_ms() const { return latency_ms_; }

  // Whether the target is left alone after failures in a row.
  bool IsAvoided(timestamp now) const;

  // Whether that is for runs that broke before their first output.
  bool IsFailing(timestamp now) const;

 private:
  void Avoid(timestamp now);

  double failure_share_ = 0;
  std::optional<double> latency_ms_;
  int failures_in_a_row_ = 0;
  std::optional<timestamp> avoided_deadline_;
  std::optional<timestamp> failing_deadline_;
};

}  // namespace wist

#endif  // SELECTION_TARGET_HEALTH_H_
