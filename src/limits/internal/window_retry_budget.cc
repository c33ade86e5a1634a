#include "limits/window_retry_budget.h"

#include <algorithm>

namespace wist {
namespace {

// Fraction of the budget that is used. The rest is a margin for requests in
// transit at the ends of a window, which the target counts in a different
// window.
constexpr double kUsableFraction = 0.8;

}  // namespace

void window_retry_budget::OnRequest(timestamp now) {
  RemoveExpired(requests_, now);
  requests_.push_back(now);
}

bool window_retry_budget::TryConsumeRetry(std::size_t instance_count,
                                          timestamp now) {
  RemoveExpired(requests_, now);
  RemoveExpired(retries_, now);
  const double slack =
      settings_.slack /
      static_cast<double>(std::max<std::size_t>(instance_count, 1));
  const double allowed =
      kUsableFraction *
      (settings_.ratio * static_cast<double>(requests_.size()) + slack);
  if (static_cast<double>(retries_.size() + 1) > allowed)
    return false;
  retries_.push_back(now);
  return true;
}

void window_retry_budget::RemoveExpired(std::deque<timestamp>& times,
                                        timestamp now) const {
  while (!times.empty() && now >= times.front() + settings_.window)
    times.pop_front();
}

}  // namespace wist
