#include "selection/reading_pace.h"

#include <algorithm>

namespace wist {
namespace {

// Assumed before the first output: an engine reads some ten thousand tokens a
// second.
constexpr double kAssumedMicrosecondsPerToken = 100;

// Weight of the newest output.
constexpr double kWeight = 0.05;

// A single output counts as this much faster or slower than the pace at most:
// waits for memory say nothing of reading.
constexpr double kMaxRatio = 2;

}  // namespace

reading_pace::reading_pace()
    : microseconds_per_token_(kAssumedMicrosecondsPerToken) {}

void reading_pace::OnFirstOutput(std::int64_t tokens, microseconds took) {
  if (tokens <= 0)
    return;
  const double sample =
      static_cast<double>(took.count()) / static_cast<double>(tokens);
  const double bounded = std::clamp(sample, microseconds_per_token_ / kMaxRatio,
                                    microseconds_per_token_ * kMaxRatio);
  microseconds_per_token_ += kWeight * (bounded - microseconds_per_token_);
}

microseconds reading_pace::TimeFor(std::int64_t tokens) const {
  return microseconds(static_cast<std::int64_t>(microseconds_per_token_ *
                                                static_cast<double>(tokens)));
}

}  // namespace wist
