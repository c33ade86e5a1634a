#include <algorithm>
#include <map>

#include "limits/limits_module.h"

namespace wist {
namespace {

constexpr std::size_t kMostDigests = 4096;

class quarantine final : public i_quarantine {
 public:
  bool AddStrike(const crash_strike& strike, timestamp now) override {
    DropLapsed(now);
    if (strike.deadline <= now)
      return false;
    if (strikes_.size() >= kMostDigests &&
        !strikes_.contains(strike.request_digest))
      return false;
    target_map& targets = strikes_[strike.request_digest];
    const auto [found, added] =
        targets.try_emplace(strike.target, strike.deadline);
    found->second = std::max(found->second, strike.deadline);
    return added;
  }

  std::optional<timestamp> QuarantinedUntil(const std::string& request_digest,
                                            timestamp now) const override {
    std::vector<timestamp> deadlines;
    const auto found = strikes_.find(request_digest);
    if (found == strikes_.end())
      return std::nullopt;
    for (const auto& [target, deadline] : found->second) {
      if (deadline > now)
        deadlines.push_back(deadline);
    }
    if (deadlines.size() < kStrikesToQuarantine)
      return std::nullopt;
    // It ends when fewer than the needed number of strikes are left.
    std::sort(deadlines.rbegin(), deadlines.rend());
    return deadlines[kStrikesToQuarantine - 1];
  }

  std::vector<target_id> StruckTargets(const std::string& request_digest,
                                       timestamp now) const override {
    std::vector<target_id> targets;
    const auto found = strikes_.find(request_digest);
    if (found == strikes_.end())
      return targets;
    for (const auto& [target, deadline] : found->second) {
      if (deadline > now)
        targets.push_back(target);
    }
    return targets;
  }

  std::vector<crash_strike> Strikes(timestamp now,
                                    std::size_t most) const override {
    std::vector<crash_strike> live;
    for (const auto& [digest, targets] : strikes_) {
      for (const auto& [target, deadline] : targets) {
        if (deadline > now)
          live.push_back({digest, target, deadline});
      }
    }
    std::sort(live.begin(), live.end(), [](const auto& a, const auto& b) {
      return a.deadline > b.deadline;
    });
    if (live.size() > most)
      live.resize(most);
    return live;
  }

 private:
  using target_map = std::map<target_id, timestamp>;

  void DropLapsed(timestamp now) {
    for (auto it = strikes_.begin(); it != strikes_.end();) {
      std::erase_if(it->second,
                    [&](const auto& strike) { return strike.second <= now; });
      it = it->second.empty() ? strikes_.erase(it) : std::next(it);
    }
  }

  std::map<std::string, target_map> strikes_;
};

}  // namespace

std::unique_ptr<i_quarantine> MakeQuarantine() {
  return std::make_unique<quarantine>();
}

}  // namespace wist
