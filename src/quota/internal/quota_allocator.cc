#include <map>

#include "framework/base/hashing.h"
#include "quota/quota_module.h"

namespace wist {
namespace {

// Fraction of the capacity that is divided equally. It gives a member without
// demand a small share, so that its first request does not have to wait for the
// next exchange of tallies.
constexpr double kEqualFraction = 0.2;

class quota_allocator final : public i_quota_allocator {
 public:
  std::vector<quota_grant> Exchange(const instance_id& member,
                                    const std::vector<target_tally>& tallies,
                                    timestamp now) override {
    std::vector<quota_grant> grants;
    for (const target_tally& tally : tallies) {
      member_map& members = targets_[tally.target];
      EraseExpired(members, now);
      members[member] = {tally, now + kQuotaValidity};
      grants.push_back(Grant(member, tally.target, members, now));
    }
    return grants;
  }

 private:
  struct stored_tally {
    target_tally tally;
    timestamp deadline;
  };
  using member_map = std::map<instance_id, stored_tally>;

  static void EraseExpired(member_map& members, timestamp now) {
    std::erase_if(members, [&](const auto& entry) {
      return entry.second.deadline <= now;
    });
  }

  static quota_grant Grant(const instance_id& member,
                           const target_id& target,
                           const member_map& members,
                           timestamp now) {
    quota_grant grant;
    grant.target = target;
    grant.deadline = now + kQuotaValidity;
    double total_demand = 0;
    for (const auto& [id, stored] : members) {
      total_demand += stored.tally.demand;
      if (id == member)
        continue;
      grant.others_forecast += stored.tally.forecast;
      grant.others_running += stored.tally.running;
    }
    const double equal_share = 1.0 / static_cast<double>(members.size());
    const double own_demand = members.at(member).tally.demand;
    const double demand_share =
        total_demand > 0 ? own_demand / total_demand : equal_share;
    grant.share =
        kEqualFraction * equal_share + (1 - kEqualFraction) * demand_share;
    return grant;
  }

  std::map<target_id, member_map> targets_;
};

}  // namespace

std::unique_ptr<i_quota_allocator> MakeQuotaAllocator() {
  return std::make_unique<quota_allocator>();
}

int BlockOf(const target_id& target) {
  return static_cast<int>(StableHash(target.text()) % kBlocksPerDomain);
}

instance_id BlockOwner(const domain_id& domain,
                       int block,
                       const std::vector<instance_id>& members) {
  const std::string block_key =
      domain.text() + "/" + std::to_string(block) + "/";
  instance_id owner;
  std::uint64_t owner_weight = 0;
  for (const instance_id& member : members) {
    const std::uint64_t weight = StableHash(block_key + member.text());
    if (owner.empty() || weight > owner_weight) {
      owner = member;
      owner_weight = weight;
    }
  }
  return owner;
}

}  // namespace wist
