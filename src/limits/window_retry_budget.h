#ifndef LIMITS_WINDOW_RETRY_BUDGET_H_
#define LIMITS_WINDOW_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>

#include "framework/base/time_types.h"

namespace wist {

struct retry_window_settings {
  milliseconds window{10'000};
  // Retries allowed for each request.
  double ratio = 0.2;
  // Retries allowed besides, over all instances together.
  double slack = 0;

  auto operator<=>(const retry_window_settings&) const = default;
};

// One instance's part of a retry budget that all instances share: the parts add
// up to the whole without a message. Not thread-safe; reads no clock.
class window_retry_budget {
 public:
  explicit window_retry_budget(const retry_window_settings& settings)
      : settings_(settings) {}

  // Changes the bounds; what was counted stays.
  void SetSettings(const retry_window_settings& settings) {
    settings_ = settings;
  }

  void OnRequest(timestamp now);

  // Takes one retry; returns whether there was one. `instance_count` is how
  // many instances share the slack.
  bool TryRetry(std::size_t instance_count, timestamp now);

 private:
  void Forget(std::deque<timestamp>& times, timestamp now) const;

  retry_window_settings settings_;
  std::deque<timestamp> requests_;
  std::deque<timestamp> retries_;
};

}  // namespace wist

#endif  // LIMITS_WINDOW_RETRY_BUDGET_H_
