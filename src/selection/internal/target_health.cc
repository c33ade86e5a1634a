#include "selection/target_health.h"

#include <algorithm>

namespace wist {
namespace {

// Weight of the newest answer in the smoothed values.
constexpr double kLatencyWeight = 0.2;
constexpr double kFailureWeight = 0.15;

// Failures in a row after which a target rests: answers with an error are part
// of normal service, so several are needed.
constexpr int kFailuresToAvoid = 3;

// First and longest rest. The longest bounds how long a recovered target idles.
constexpr milliseconds kFirstRest{400};
constexpr milliseconds kLongestRest{3200};

// Rest of a target that breaks runs at once: each further try costs a request.
constexpr milliseconds kEarlyBreakRest{1000};

}  // namespace

void target_health::OnEnd(run_end end, microseconds took, timestamp now) {
  const auto smooth = [](double& value, double sample, double weight) {
    value += weight * (sample - value);
  };
  switch (end) {
    case run_end::answered:
      smooth(failure_share_, 0, kFailureWeight);
      if (!latency_ms_)
        latency_ms_ = ToMilliseconds(took);
      smooth(*latency_ms_, ToMilliseconds(took), kLatencyWeight);
      failures_in_a_row_ = 0;
      avoided_deadline_.reset();
      failing_deadline_.reset();
      return;
    case run_end::failed:
    case run_end::rejected:
      smooth(failure_share_, 1, kFailureWeight);
      if (++failures_in_a_row_ >= kFailuresToAvoid)
        Avoid(now);
      return;
    case run_end::timed_out:
      if (latency_ms_)
        *latency_ms_ = std::max(*latency_ms_, ToMilliseconds(took));
      [[fallthrough]];
    case run_end::broken:
    case run_end::unreachable:
      smooth(failure_share_, 1, kFailureWeight);
      failures_in_a_row_ = std::max(failures_in_a_row_ + 1, kFailuresToAvoid);
      if (end == run_end::unreachable)
        Avoid(now);
      return;
    case run_end::withdrawn:
      return;
  }
}

// A target that breaks its runs at once looks empty, so that every instance
// would send to it. A call to a plain service has no output before its whole
// answer, so that each of its breaks counts.
void target_health::OnEarlyBreak(timestamp now) {
  Avoid(now);
  avoided_deadline_ = std::max(*avoided_deadline_, now + kEarlyBreakRest);
  failing_deadline_ = avoided_deadline_;
}

bool target_health::IsFailing(timestamp now) const {
  return failing_deadline_ && now < *failing_deadline_;
}

void target_health::Avoid(timestamp now) {
  const int doublings =
      std::clamp(failures_in_a_row_ - kFailuresToAvoid, 0, 10);
  const milliseconds rest =
      std::min(kFirstRest * (1 << doublings), kLongestRest);
  avoided_deadline_ = now + rest;
}

bool target_health::IsAvoided(timestamp now) const {
  return avoided_deadline_ && now < *avoided_deadline_;
}

}  // namespace wist
