#include <algorithm>
#include <map>

#include "limits/limits_module.h"

namespace wist {
namespace {

// Token bucket capacity, as seconds of the rate.
constexpr double kBurstSeconds = 2;

class workspace_limiter final : public i_workspace_limiter {
 public:
  void ApplyConfiguration(const configuration_body& body,
                          timestamp now) override {
    std::map<workspace_id, token_bucket> buckets;
    for (const workspace_spec& workspace : body.workspaces) {
      const auto existing = buckets_.find(workspace.id);
      const bool is_new = existing == buckets_.end();
      token_bucket& bucket = buckets[workspace.id];
      if (!is_new)
        bucket = existing->second;
      bucket.rate = workspace.max_requests_per_minute / 60.0;
      if (is_new) {
        bucket.refilled_at = now;
        bucket.tokens = bucket.rate * CurrentShare(bucket, now) * kBurstSeconds;
      }
    }
    buckets_ = std::move(buckets);
  }

  std::optional<timestamp> Acquire(const workspace_id& workspace,
                                   timestamp now) override {
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
      return std::nullopt;
    token_bucket& bucket = found->second;
    bucket.demand += 1;
    const double rate = bucket.rate * CurrentShare(bucket, now);
    const double capacity = std::max(1.0, rate * kBurstSeconds);
    const double elapsed_s = ToMilliseconds(now - bucket.refilled_at) / 1000;
    bucket.tokens = std::min(capacity, bucket.tokens + elapsed_s * rate);
    bucket.refilled_at = now;
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return std::nullopt;
    }
    const double wait_ms = (1 - bucket.tokens) / std::max(rate, 1e-6) * 1000;
    return now + milliseconds(1 + static_cast<std::int64_t>(wait_ms));
  }

  std::vector<limit_demand> CollectDemands() override {
    std::vector<limit_demand> demands;
    for (auto& [workspace, bucket] : buckets_) {
      if (bucket.demand > 0)
        demands.push_back({workspace, bucket.demand});
      bucket.demand = 0;
    }
    return demands;
  }

  void SetShare(const limit_share& share) override {
    const auto found = buckets_.find(share.workspace);
    if (found == buckets_.end())
      return;
    found->second.share = share.share;
    found->second.share_deadline = share.deadline;
  }

  void SetInstanceCount(int count) override {
    instance_count_ = std::max(1, count);
  }

 private:
  struct token_bucket {
    double rate = 0;  // Requests a second over all instances.
    double tokens = 0;
    timestamp refilled_at;
    double share = 1;
    timestamp share_deadline;
    double demand = 0;
  };

  double CurrentShare(const token_bucket& bucket, timestamp now) const {
    return now < bucket.share_deadline ? bucket.share : 1.0 / instance_count_;
  }

  std::map<workspace_id, token_bucket> buckets_;
  int instance_count_ = 1;
};

}  // namespace

std::unique_ptr<i_workspace_limiter> MakeWorkspaceLimiter() {
  return std::make_unique<workspace_limiter>();
}

}  // namespace wist
