#include "selection/target_health.h"

#include <algorithm>

namespace wist {
namespace {

// Weights of the newest sample in the moving averages.
constexpr double kLatencyWeight = 0.2;
constexpr double kFailureWeight = 0.15;

// Error responses are part of normal service, so a cooldown needs several in a
// row.
constexpr int kFailuresBeforeCooldown = 3;

// The cooldown doubles with each further failure, up to a maximum that bounds
// how long a recovered target stays idle.
constexpr milliseconds kFirstCooldown{400};
constexpr milliseconds kMaxCooldown{3200};

// Minimum cooldown of a target that breaks runs early: each further attempt
// costs a request.
constexpr milliseconds kEarlyBreakCooldown{1000};

// After a pause that the target asked for, this instance begins one run in each
// interval until the time is over. All instances come back then.
constexpr milliseconds kReturnInterval{200};
constexpr milliseconds kReturnTime{2000};

}  // namespace

void target_health::OnEnd(run_end end, microseconds took, timestamp now) {
  const auto update_average = [](double& value, double sample, double weight) {
    value += weight * (sample - value);
  };
  switch (end) {
    case run_end::completed:
      update_average(failure_rate_, 0, kFailureWeight);
      if (!latency_ms_)
        latency_ms_ = ToMilliseconds(took);
      update_average(*latency_ms_, ToMilliseconds(took), kLatencyWeight);
      consecutive_failures_ = 0;
      cooldown_deadline_.reset();
      failing_deadline_.reset();
      return;
    case run_end::failed:
    case run_end::rejected:
      update_average(failure_rate_, 1, kFailureWeight);
      if (++consecutive_failures_ >= kFailuresBeforeCooldown)
        StartCooldown(now);
      return;
    case run_end::timed_out:
      if (latency_ms_)
        *latency_ms_ = std::max(*latency_ms_, ToMilliseconds(took));
      [[fallthrough]];
    case run_end::broken:
    case run_end::unreachable:
      update_average(failure_rate_, 1, kFailureWeight);
      consecutive_failures_ =
          std::max(consecutive_failures_ + 1, kFailuresBeforeCooldown);
      if (end == run_end::unreachable) {
        StartCooldown(now);
        // A target that ended without notice appears idle to all instances.
        failing_deadline_ = cooldown_deadline_;
      }
      return;
    case run_end::cancelled:
      return;
  }
}

// A target that breaks its runs at once appears idle, so every instance would
// send to it. A plain call produces no output before its whole response, so
// each broken plain call counts as an early break.
void target_health::OnEarlyBreak(timestamp now) {
  StartCooldown(now);
  cooldown_deadline_ = std::max(*cooldown_deadline_, now + kEarlyBreakCooldown);
  failing_deadline_ = cooldown_deadline_;
}

void target_health::OnPauseRequested(timestamp deadline) {
  pause_deadline_ = std::max(deadline, pause_deadline_.value_or(deadline));
  starts_since_pause_ = 0;
}

void target_health::OnStart() {
  ++starts_since_pause_;
}

std::optional<timestamp> target_health::PausedUntil(timestamp now) const {
  return pause_deadline_ && now < *pause_deadline_ ? pause_deadline_
                                                   : std::nullopt;
}

bool target_health::AllowsStart(timestamp now) const {
  if (!pause_deadline_ || now >= *pause_deadline_ + kReturnTime)
    return true;
  return now >= *pause_deadline_ &&
         starts_since_pause_ <= (now - *pause_deadline_) / kReturnInterval;
}

bool target_health::IsFailing(timestamp now) const {
  return failing_deadline_ && now < *failing_deadline_;
}

void target_health::StartCooldown(timestamp now) {
  const int doublings =
      std::clamp(consecutive_failures_ - kFailuresBeforeCooldown, 0, 10);
  const milliseconds cooldown =
      std::min(kFirstCooldown * (1 << doublings), kMaxCooldown);
  cooldown_deadline_ = now + cooldown;
}

bool target_health::IsCoolingDown(timestamp now) const {
  return cooldown_deadline_ && now < *cooldown_deadline_;
}

}  // namespace wist
