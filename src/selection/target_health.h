#ifndef SELECTION_TARGET_HEALTH_H_
#define SELECTION_TARGET_HEALTH_H_

#include <optional>

#include "selection/selection_types.h"

namespace wist {

// Tracks the outcomes of recent runs on a target. Reads no clock.
class target_health {
 public:
  void OnEnd(run_end end, microseconds took, timestamp now);

  // Handles a run that broke before its first output.
  void OnEarlyBreak(timestamp now);

  // The target wants no requests from this instance before `deadline`.
  void OnPauseRequested(timestamp deadline);

  // Handles a run that begins on the target.
  void OnStart();

  // When the pause ends that the target has asked for; nothing if there is
  // none.
  std::optional<timestamp> PausedUntil(timestamp now) const;

  // Whether a run may begin now: after a pause they come back gradually.
  bool AllowsStart(timestamp now) const;

  // Smoothed fraction of recent requests that failed, in [0, 1].
  double failure_rate() const { return failure_rate_; }

  // Smoothed duration of completed runs; nothing before the first.
  std::optional<double> latency_ms() const { return latency_ms_; }

  // Whether the target is in a cooldown after consecutive failures or a run
  // that broke early.
  bool IsCoolingDown(timestamp now) const;

  // Whether the target is cooling down because it could not be reached or a run
  // broke before its first output.
  bool IsFailing(timestamp now) const;

 private:
  void StartCooldown(timestamp now);

  double failure_rate_ = 0;
  std::optional<double> latency_ms_;
  int consecutive_failures_ = 0;
  std::optional<timestamp> cooldown_deadline_;
  std::optional<timestamp> failing_deadline_;
  std::optional<timestamp> pause_deadline_;
  int starts_since_pause_ = 0;
};

}  // namespace wist

#endif  // SELECTION_TARGET_HEALTH_H_
