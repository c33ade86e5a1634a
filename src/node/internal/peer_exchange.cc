#include "node/internal/peer_exchange.h"

#include <algorithm>
#include <map>

#include "quota/quota_module.h"

namespace wist {
namespace {

// The interval between tally exchanges grows with the number of members of the
// failure domain, so that the traffic of an owner stays bounded.
constexpr milliseconds kTallyIntervalPerMember{15};
constexpr milliseconds kMinTallyInterval{50};
constexpr milliseconds kMaxTallyInterval{1000};
constexpr milliseconds kPeerCallTimeout{400};

// Stands for all failure domains when the owner of a workspace is chosen.
constexpr char kAllDomains[] = "*";

std::string OwnerAddress(const domain_id& domain,
                         const target_id& name,
                         const std::vector<member_record>& members) {
  std::vector<instance_id> ids;
  for (const member_record& member : members) {
    if (domain.text() == kAllDomains || member.domain == domain)
      ids.push_back(member.id);
  }
  const instance_id owner = BlockOwner(domain, BlockOf(name), ids);
  for (const member_record& member : members) {
    if (member.id == owner)
      return member.address;
  }
  return {};
}

}  // namespace

std::string ColdLeaseName(const domain_id& domain) {
  return "wisteriatally/cold/" + domain.text();
}

peer_exchange::peer_exchange(const node_settings& settings,
                             std::shared_ptr<const i_clock> clock,
                             std::shared_ptr<i_configuration_holder> holder,
                             std::shared_ptr<cluster_state> cluster,
                             std::shared_ptr<i_peer_link> link,
                             blocking_admission& admission,
                             request_limits& limits,
                             const task_assigner& assigner)
    : settings_(settings),
      clock_(std::move(clock)),
      holder_(std::move(holder)),
      cluster_(std::move(cluster)),
      link_(std::move(link)),
      admission_(admission),
      limits_(limits),
      assigner_(assigner) {}

void peer_exchange::ExchangeTalliesIfDue() {
  const timestamp now = clock_->Now();
  if (now < next_tally_exchange_at_)
    return;
  const auto member_count =
      static_cast<int>(cluster_->LiveMembersInDomain(settings_.domain).size());
  next_tally_exchange_at_ =
      now + std::clamp(kTallyIntervalPerMember * member_count,
                       kMinTallyInterval, kMaxTallyInterval);
  ExchangeTallies();
}

void peer_exchange::ExchangeTallies() {
  const auto members = cluster_->LiveMembers();
  admission_.SetInstanceCount(
      std::max<int>(1, static_cast<int>(members.size())));
  std::map<std::string, std::vector<target_tally>> by_owner;
  for (const target_tally& tally : admission_.CollectTallies())
    by_owner[OwnerAddress(DomainOf(tally.target), tally.target, members)]
        .push_back(tally);
  for (const auto& [address, tallies] : by_owner)
    ExchangeWithOwner(address, tallies);
}

void peer_exchange::ExchangeLimitDemand() {
  const auto members = cluster_->LiveMembers();
  limits_.SetInstanceCount(std::max<int>(1, static_cast<int>(members.size())));
  std::map<std::string, std::vector<target_tally>> by_owner;
  for (const target_tally& tally : limits_.DemandTallies())
    by_owner[OwnerAddress(domain_id(kAllDomains), tally.target, members)]
        .push_back(tally);
  for (const auto& [address, tallies] : by_owner)
    ExchangeWithOwner(address, tallies);
}

domain_id peer_exchange::DomainOf(const target_id& target) const {
  const auto current = holder_->Current();
  if (current) {
    for (const target_spec& spec : current->body.targets) {
      if (spec.id == target)
        return spec.domain;
    }
  }
  return settings_.domain;
}

void peer_exchange::ExchangeWithOwner(
    const std::string& address,
    const std::vector<target_tally>& tallies) {
  if (address.empty())
    return;
  const tally_call call{settings_.instance, tallies};
  if (address == settings_.peer_address)
    return ApplyGrants(cluster_->OnTallyCall(call));
  const timestamp called_at = clock_->Now();
  try {
    const peer_response response =
        link_->Call(address, call, called_at + kPeerCallTimeout);
    const auto* granted = std::get_if<tally_response>(&response);
    if (!granted)
      return;
    std::vector<quota_grant> grants = granted->grants;
    for (quota_grant& grant : grants)
      grant.deadline = called_at + kQuotaValidity;
    ApplyGrants(grants);
  } catch (const peer_error&) {
    // The grants received from this owner expire.
  }
}

void peer_exchange::ApplyGrants(const std::vector<quota_grant>& grants) {
  admission_.OnGrants(grants);
  limits_.OnGrants(grants);
}

void peer_exchange::RequestColdPermits() {
  std::vector<cold_permit_request> requests;
  for (const cold_load& load : admission_.ColdLoads()) {
    // Requests one permit more than there are waiting requests.
    if (DomainOf(load.target) == settings_.domain)
      requests.push_back(cluster_->MakePermitRequest(load.target, load.running,
                                                     load.waiting + 1));
  }
  if (requests.empty())
    return;
  const auto ranked = assigner_.RankMembers(ColdLeaseName(settings_.domain));
  for (std::size_t i = 0; i < std::min(kColdLeaseCandidates, ranked.size());
       ++i) {
    if (RequestPermitsFrom(ranked[i], requests))
      return;
  }
}

bool peer_exchange::RequestPermitsFrom(
    const member_record& member,
    const std::vector<cold_permit_request>& requests) {
  const permit_call call{settings_.instance, requests};
  const timestamp called_at = clock_->Now();
  std::vector<cold_permit> permits;
  if (member.id == settings_.instance) {
    permits = cluster_->OnPermitCall(call);
  } else {
    try {
      const peer_response response =
          link_->Call(member.address, call, called_at + kPeerCallTimeout);
      if (const auto* granted = std::get_if<permit_response>(&response))
        permits = granted->permits;
    } catch (const peer_error&) {
      return false;
    }
  }
  bool holds_lease = false;
  for (const cold_permit& permit : permits) {
    cluster_->OnPermit(permit, called_at);
    holds_lease |= permit.epoch != 0;
  }
  return holds_lease;
}

}  // namespace wist
