#include <algorithm>
#include <map>

#include "coldstart/coldstart_module.h"

namespace wist {
namespace {

class cold_start_limiter final : public i_cold_start_limiter {
 public:
  cold_start_limiter(const cold_start_settings& settings,
                     const domain_id& domain,
                     timestamp started_at)
      : domain_(domain),
        static_limits_from_(started_at + settings.startup_hold_off) {}

  void ApplyConfiguration(const configuration_body& body) override {
    std::map<domain_id, domain_spec> domains;
    for (const domain_spec& domain : body.domains)
      domains[domain.id] = domain;
    static_limits_.clear();
    for (const target_spec& target : body.targets) {
      // Only instances of the target's own failure domain may send requests to
      // it while it is cold.
      if (target.domain == domain_)
        static_limits_[target.id] =
            StaticLimitPerInstance(target, domains[target.domain]);
    }
  }

  void OnPermit(const cold_permit& permit, timestamp requested_at) override {
    stored_permit& stored = permits_[permit.target];
    // A permit of an older epoch was issued by a coordinator that has since
    // been replaced.
    if (permit.epoch < stored.epoch)
      return;
    stored = {permit.count, permit.epoch, requested_at + permit.valid_for};
  }

  std::int32_t RequestLimit(const target_id& target,
                            timestamp now) const override {
    const auto static_limit = static_limits_.find(target);
    if (static_limit == static_limits_.end())
      return 0;
    std::int32_t limit = now >= static_limits_from_ ? static_limit->second : 0;
    const auto permit = permits_.find(target);
    if (permit != permits_.end() && now < permit->second.deadline)
      limit += permit->second.count;
    return limit;
  }

  cold_permit_request BuildPermitRequest(const target_id& target,
                                         std::int32_t running,
                                         std::int32_t wanted) const override {
    const auto static_limit = static_limits_.find(target);
    const std::int32_t limit_without_permit =
        static_limit == static_limits_.end() ? 0 : static_limit->second;
    return {target, std::max(0, running - limit_without_permit), wanted};
  }

 private:
  struct stored_permit {
    std::int32_t count = 0;
    std::uint64_t epoch = 0;
    timestamp deadline;
  };

  const domain_id domain_;
  const timestamp static_limits_from_;
  std::map<target_id, std::int32_t> static_limits_;
  std::map<target_id, stored_permit> permits_;
};

}  // namespace

std::unique_ptr<i_cold_start_limiter> MakeColdStartLimiter(
    const cold_start_settings& settings,
    const domain_id& domain,
    timestamp started_at) {
  return std::make_unique<cold_start_limiter>(settings, domain, started_at);
}

}  // namespace wist
