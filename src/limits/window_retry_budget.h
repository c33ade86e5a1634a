#ifndef LIMITS_WINDOW_RETRY_BUDGET_H_
#define LIMITS_WINDOW_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>

#include "framework/base/time_types.h"

namespace wist {

struct retry_window_settings {
  milliseconds window{10'000};
  // Retries allowed per request in the window.
  double ratio = 0.2;
  // Additional retries allowed in the window over all instances together.
  double slack = 0;

  auto operator<=>(const retry_window_settings&) const = default;
};

// One instance's share of a retry budget over a sliding window. Each instance
// computes its own share, so that all together respect the budget without
// coordination. Not thread-safe; reads no clock.
class window_retry_budget {
 public:
  explicit window_retry_budget(const retry_window_settings& settings)
      : settings_(settings) {}

  // Changes the limits and keeps the counted requests and retries.
  void SetSettings(const retry_window_settings& settings) {
    settings_ = settings;
  }

  void OnRequest(timestamp now);

  // Consumes one retry; returns false if none is left. The slack is divided
  // among `instance_count` instances.
  bool TryConsumeRetry(std::size_t instance_count, timestamp now);

 private:
  void RemoveExpired(std::deque<timestamp>& times, timestamp now) const;

  retry_window_settings settings_;
  std::deque<timestamp> requests_;
  std::deque<timestamp> retries_;
};

}  // namespace wist

#endif  // LIMITS_WINDOW_RETRY_BUDGET_H_
