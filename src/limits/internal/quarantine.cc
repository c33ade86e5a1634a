#include <algorithm>
#include <map>

#include "limits/limits_module.h"

namespace wist {
namespace {

constexpr std::size_t kMaxDigests = 4096;

class quarantine final : public i_quarantine {
 public:
  bool AddCrash(const target_crash& crash, timestamp now) override {
    RemoveExpired(now);
    if (crash.deadline <= now)
      return false;
    if (crashes_by_digest_.size() >= kMaxDigests &&
        !crashes_by_digest_.contains(crash.request_digest))
      return false;
    target_map& targets = crashes_by_digest_[crash.request_digest];
    const auto [found, added] =
        targets.try_emplace(crash.target, crash.deadline);
    found->second = std::max(found->second, crash.deadline);
    return added;
  }

  std::optional<timestamp> QuarantinedUntil(const std::string& request_digest,
                                            timestamp now) const override {
    std::vector<timestamp> deadlines;
    const auto found = crashes_by_digest_.find(request_digest);
    if (found == crashes_by_digest_.end())
      return std::nullopt;
    for (const auto& [target, deadline] : found->second) {
      if (deadline > now)
        deadlines.push_back(deadline);
    }
    if (deadlines.size() < kCrashedTargetsToQuarantine)
      return std::nullopt;
    // The quarantine ends when too few unexpired crashes remain.
    std::sort(deadlines.rbegin(), deadlines.rend());
    return deadlines[kCrashedTargetsToQuarantine - 1];
  }

  std::vector<target_id> CrashedTargets(const std::string& request_digest,
                                        timestamp now) const override {
    std::vector<target_id> targets;
    const auto found = crashes_by_digest_.find(request_digest);
    if (found == crashes_by_digest_.end())
      return targets;
    for (const auto& [target, deadline] : found->second) {
      if (deadline > now)
        targets.push_back(target);
    }
    return targets;
  }

  std::vector<target_crash> UnexpiredCrashes(
      timestamp now,
      std::size_t max_count) const override {
    std::vector<target_crash> unexpired;
    for (const auto& [digest, targets] : crashes_by_digest_) {
      for (const auto& [target, deadline] : targets) {
        if (deadline > now)
          unexpired.push_back({digest, target, deadline});
      }
    }
    std::sort(
        unexpired.begin(), unexpired.end(),
        [](const auto& a, const auto& b) { return a.deadline > b.deadline; });
    if (unexpired.size() > max_count)
      unexpired.resize(max_count);
    return unexpired;
  }

 private:
  using target_map = std::map<target_id, timestamp>;

  void RemoveExpired(timestamp now) {
    for (auto it = crashes_by_digest_.begin();
         it != crashes_by_digest_.end();) {
      std::erase_if(it->second,
                    [&](const auto& crash) { return crash.second <= now; });
      it = it->second.empty() ? crashes_by_digest_.erase(it) : std::next(it);
    }
  }

  std::map<std::string, target_map> crashes_by_digest_;
};

}  // namespace

std::unique_ptr<i_quarantine> MakeQuarantine() {
  return std::make_unique<quarantine>();
}

}  // namespace wist
