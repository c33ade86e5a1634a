#include <algorithm>
#include <map>

#include "coldstart/coldstart_module.h"

namespace wist {
namespace {

class cold_allowance final : public i_cold_allowance {
 public:
  cold_allowance(const cold_settings& settings,
                 const domain_id& domain,
                 timestamp started_at)
      : domain_(domain), static_from_(started_at + settings.quiet_start) {}

  void ApplyConfiguration(const configuration_body& body) override {
    std::map<domain_id, domain_spec> domains;
    for (const domain_spec& domain : body.domains)
      domains[domain.id] = domain;
    static_parts_.clear();
    for (const target_spec& target : body.targets) {
      // Only instances of the target's own domain send to it while cold.
      if (target.domain == domain_)
        static_parts_[target.id] = StaticPart(target, domains[target.domain]);
    }
  }

  void OnPermit(const cold_permit& permit, timestamp asked_at) override {
    held_permit& held = permits_[permit.target];
    // An answer of an older epoch comes from a steward that was replaced.
    if (permit.epoch < held.epoch)
      return;
    held = {permit.count, permit.epoch, asked_at + permit.valid_for};
  }

  std::int32_t Allowance(const target_id& target,
                         timestamp now) const override {
    const auto part = static_parts_.find(target);
    if (part == static_parts_.end())
      return 0;
    std::int32_t allowed = now >= static_from_ ? part->second : 0;
    const auto permit = permits_.find(target);
    if (permit != permits_.end() && now < permit->second.deadline)
      allowed += permit->second.count;
    return allowed;
  }

  cold_request Ask(const target_id& target,
                   std::int32_t running,
                   std::int32_t wanted) const override {
    const auto part = static_parts_.find(target);
    const std::int32_t free_of_charge =
        part == static_parts_.end() ? 0 : part->second;
    return {target, std::max(0, running - free_of_charge), wanted};
  }

 private:
  struct held_permit {
    std::int32_t count = 0;
    std::uint64_t epoch = 0;
    timestamp deadline;
  };

  const domain_id domain_;
  const timestamp static_from_;
  std::map<target_id, std::int32_t> static_parts_;
  std::map<target_id, held_permit> permits_;
};

}  // namespace

std::unique_ptr<i_cold_allowance> MakeColdAllowance(
    const cold_settings& settings,
    const domain_id& domain,
    timestamp started_at) {
  return std::make_unique<cold_allowance>(settings, domain, started_at);
}

}  // namespace wist
