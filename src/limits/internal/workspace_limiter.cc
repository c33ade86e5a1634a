#include <algorithm>
#include <map>

#include "limits/limits_module.h"

namespace wist {
namespace {

// Requests that may come at once after a pause, as seconds of the rate.
constexpr double kBurstSeconds = 2;

class workspace_limiter final : public i_workspace_limiter {
 public:
  void ApplyConfiguration(const configuration_body& body,
                          timestamp now) override {
    std::map<workspace_id, account> accounts;
    for (const workspace_spec& workspace : body.workspaces) {
      const auto known = accounts_.find(workspace.id);
      const bool is_new = known == accounts_.end();
      account& own = accounts[workspace.id];
      if (!is_new)
        own = known->second;
      own.rate = workspace.max_requests_per_minute / 60.0;
      if (is_new) {
        own.filled_at = now;
        own.tokens = own.rate * Share(own, now) * kBurstSeconds;
      }
    }
    accounts_ = std::move(accounts);
  }

  std::optional<timestamp> Take(const workspace_id& workspace,
                                timestamp now) override {
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end())
      return std::nullopt;
    account& own = found->second;
    own.demand += 1;
    const double rate = own.rate * Share(own, now);
    const double most = std::max(1.0, rate * kBurstSeconds);
    const double passed = ToMilliseconds(now - own.filled_at) / 1000;
    own.tokens = std::min(most, own.tokens + passed * rate);
    own.filled_at = now;
    if (own.tokens >= 1) {
      own.tokens -= 1;
      return std::nullopt;
    }
    const double wait_ms = (1 - own.tokens) / std::max(rate, 1e-6) * 1000;
    return now + milliseconds(1 + static_cast<std::int64_t>(wait_ms));
  }

  std::vector<limit_demand> Demands() override {
    std::vector<limit_demand> demands;
    for (auto& [workspace, own] : accounts_) {
      if (own.demand > 0)
        demands.push_back({workspace, own.demand});
      own.demand = 0;
    }
    return demands;
  }

  void OnShare(const limit_share& share) override {
    const auto found = accounts_.find(share.workspace);
    if (found == accounts_.end())
      return;
    found->second.share = share.share;
    found->second.share_deadline = share.deadline;
  }

  void SetInstanceCount(int count) override {
    instance_count_ = std::max(1, count);
  }

 private:
  struct account {
    double rate = 0;  // Requests a second over all instances.
    double tokens = 0;
    timestamp filled_at;
    double share = 1;
    timestamp share_deadline;
    double demand = 0;
  };

  double Share(const account& own, timestamp now) const {
    return now < own.share_deadline ? own.share : 1.0 / instance_count_;
  }

  std::map<workspace_id, account> accounts_;
  int instance_count_ = 1;
};

}  // namespace

std::unique_ptr<i_workspace_limiter> MakeWorkspaceLimiter() {
  return std::make_unique<workspace_limiter>();
}

}  // namespace wist
