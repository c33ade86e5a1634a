#include "selection/prefill_estimator.h"

#include <algorithm>

namespace wist {
namespace {

// Estimate before the first sample: an engine processes about ten thousand
// prompt tokens a second.
constexpr double kInitialMicrosecondsPerToken = 100;

// Weight of the newest sample in the moving average.
constexpr double kSampleWeight = 0.05;

// Limits the ratio of one sample to the estimate: the time to the first output
// can include a wait for memory, which is not prefill time.
constexpr double kMaxSampleRatio = 2;

}  // namespace

prefill_estimator::prefill_estimator()
    : microseconds_per_token_(kInitialMicrosecondsPerToken) {}

void prefill_estimator::OnFirstOutput(std::int64_t tokens, microseconds took) {
  if (tokens <= 0)
    return;
  const double sample =
      static_cast<double>(took.count()) / static_cast<double>(tokens);
  const double bounded =
      std::clamp(sample, microseconds_per_token_ / kMaxSampleRatio,
                 microseconds_per_token_ * kMaxSampleRatio);
  microseconds_per_token_ +=
      kSampleWeight * (bounded - microseconds_per_token_);
}

microseconds prefill_estimator::EstimateTime(std::int64_t tokens) const {
  return microseconds(static_cast<std::int64_t>(microseconds_per_token_ *
                                                static_cast<double>(tokens)));
}

}  // namespace wist
