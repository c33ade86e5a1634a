#include "selection/prefill_speeds.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

// Time over which the sums decay: an engine that is replaced or becomes slower
// is noticed within seconds.
constexpr double kHistorySeconds = 20;

// Busy time at the average speed that is assumed in addition to the observed
// one, so that a few samples change little.
constexpr double kAssumedBusySeconds = 2;

// Without a report for longer, the backlog in between is not known.
constexpr microseconds kMaxObservationGap{2'000'000};

// Bounds of the relative time. An engine that refuses runs appears fast, since
// their prompts are not pending any more.
constexpr double kMinRelativeTime = 0.4;
constexpr double kMaxRelativeTime = 2.5;

double Seconds(microseconds span) {
  return static_cast<double>(span.count()) / 1e6;
}

}  // namespace

void prefill_speeds::history::Add(double seconds,
                                  double tokens,
                                  timestamp now) {
  const double remaining =
      std::exp(-Seconds(now - updated_at) / kHistorySeconds);
  busy_seconds = busy_seconds * remaining + seconds;
  processed_tokens = processed_tokens * remaining + tokens;
  updated_at = now;
}

void prefill_speeds::OnBacklog(const target_id& target,
                               std::int64_t pending_tokens,
                               timestamp now) {
  engine_state& engine = engines_[target];
  const microseconds gap = now - engine.observed_at;
  if (engine.pending_tokens > 0 && gap <= kMaxObservationGap) {
    const auto processed = static_cast<double>(
        std::max<std::int64_t>(engine.pending_tokens - pending_tokens, 0));
    engine.own.Add(Seconds(gap), processed, now);
    service_.Add(Seconds(gap), processed, now);
  }
  engine.pending_tokens = pending_tokens;
  engine.observed_at = now;
}

double prefill_speeds::RelativeTime(const target_id& target) const {
  const auto found = engines_.find(target);
  if (found == engines_.end() || service_.processed_tokens <= 0)
    return 1;
  const history& own = found->second.own;
  // The engine's sums were last decayed when it was busy.
  const double remaining = std::exp(
      -Seconds(service_.updated_at - own.updated_at) / kHistorySeconds);
  const double average_seconds =
      own.processed_tokens * service_.busy_seconds / service_.processed_tokens;
  return std::clamp((own.busy_seconds * remaining + kAssumedBusySeconds) /
                        (average_seconds * remaining + kAssumedBusySeconds),
                    kMinRelativeTime, kMaxRelativeTime);
}

void prefill_speeds::Prune(
    const std::function<bool(const target_id&)>& is_removed) {
  std::erase_if(engines_,
                [&](const auto& entry) { return is_removed(entry.first); });
}

}  // namespace wist
