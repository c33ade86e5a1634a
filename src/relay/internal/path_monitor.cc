#include "relay/path_monitor.h"

#include <algorithm>

namespace wist {
namespace {

// Number of targets that have to be unreachable, so that the end of one target
// is no loss of paths.
constexpr std::size_t kUnreachableTargets = 2;

// Failed connections that are older are no evidence of the present.
constexpr milliseconds kEvidenceTime{3000};

// Connections after which lost paths count as usable again, so that a path that
// works now and then doesn't change the decision each time.
constexpr int kConnectionsToRestore = 2;

constexpr milliseconds kDirectTryInterval{1000};
constexpr milliseconds kShortDirectTryInterval{100};

}  // namespace

bool path_monitor::OnUnreachable(const target_id& target,
                                 timestamp started_at,
                                 timestamp now,
                                 std::size_t target_count) {
  connection_count_ = 0;
  unreachable_[target] = {started_at, now};
  if (is_lost_)
    return false;
  std::erase_if(unreachable_, [&](const auto& entry) {
    return now >= entry.second.failed_at + kEvidenceTime;
  });
  if (unreachable_.size() <
      std::clamp<std::size_t>(target_count, 1, kUnreachableTargets))
    return false;
  is_lost_ = true;
  last_direct_try_ = now;
  return true;
}

bool path_monitor::OnConnected(timestamp started_at) {
  std::erase_if(unreachable_, [&](const auto& entry) {
    return entry.second.started_at <= started_at;
  });
  if (!is_lost_ || !unreachable_.empty())
    return false;
  last_direct_try_.reset();
  if (++connection_count_ < kConnectionsToRestore)
    return false;
  is_lost_ = false;
  connection_count_ = 0;
  return true;
}

bool path_monitor::IsSuspected(timestamp now) const {
  return is_lost_ ||
         std::any_of(unreachable_.begin(), unreachable_.end(),
                     [&](const auto& entry) {
                       return now < entry.second.failed_at + kEvidenceTime;
                     });
}

bool path_monitor::TryConsumeDirectTry(timestamp now, bool others_accept) {
  if (!is_lost_)
    return false;
  const milliseconds interval =
      others_accept ? kDirectTryInterval : kShortDirectTryInterval;
  if (last_direct_try_ && now < *last_direct_try_ + interval)
    return false;
  last_direct_try_ = now;
  return true;
}

std::vector<target_id> path_monitor::UnreachableTargets() const {
  std::vector<target_id> targets;
  for (const auto& [target, failed] : unreachable_)
    targets.push_back(target);
  return targets;
}

}  // namespace wist
