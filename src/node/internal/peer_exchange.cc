#include "node/internal/peer_exchange.h"

#include <algorithm>
#include <map>

#include "quota/quota_module.h"

namespace wist {
namespace {

// Tallies are exchanged at this interval for each member of the own failure
// domain, so that the bytes a second an owner moves stay bounded.
constexpr milliseconds kTallyPauseAMember{15};
constexpr milliseconds kShortestTallyPause{50};
constexpr milliseconds kLongestTallyPause{1000};
constexpr milliseconds kPeerCallLimit{400};

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
                             std::shared_ptr<cluster_desk> cluster,
                             std::shared_ptr<i_peer_link> link,
                             admission_desk& admission,
                             limit_desk& limits,
                             const duty_ranking& duties)
    : settings_(settings),
      clock_(std::move(clock)),
      holder_(std::move(holder)),
      cluster_(std::move(cluster)),
      link_(std::move(link)),
      admission_(admission),
      limits_(limits),
      duties_(duties) {}

void peer_exchange::TalliesWhenDue() {
  const timestamp now = clock_->Now();
  if (now < next_tallies_at_)
    return;
  const auto neighbours =
      static_cast<int>(cluster_->LiveMembersOf(settings_.domain).size());
  next_tallies_at_ = now + std::clamp(kTallyPauseAMember * neighbours,
                                      kShortestTallyPause, kLongestTallyPause);
  Tallies();
}

void peer_exchange::Tallies() {
  const auto members = cluster_->LiveMembers();
  admission_.SetInstanceCount(
      std::max<int>(1, static_cast<int>(members.size())));
  std::map<std::string, std::vector<target_tally>> by_owner;
  for (const target_tally& tally : admission_.Tallies())
    by_owner[OwnerAddress(DomainOf(tally.target), tally.target, members)]
        .push_back(tally);
  for (const auto& [address, tallies] : by_owner)
    ExchangeWith(address, tallies);
}

void peer_exchange::Limits() {
  const auto members = cluster_->LiveMembers();
  limits_.SetInstanceCount(std::max<int>(1, static_cast<int>(members.size())));
  std::map<std::string, std::vector<target_tally>> by_owner;
  for (const target_tally& tally : limits_.DemandTallies())
    by_owner[OwnerAddress(domain_id(kAllDomains), tally.target, members)]
        .push_back(tally);
  for (const auto& [address, tallies] : by_owner)
    ExchangeWith(address, tallies);
}

domain_id peer_exchange::DomainOf(const target_id& target) const {
  const auto held = holder_->Current();
  if (held) {
    for (const target_spec& spec : held->body.targets) {
      if (spec.id == target)
        return spec.domain;
    }
  }
  return settings_.domain;
}

void peer_exchange::ExchangeWith(const std::string& address,
                                 const std::vector<target_tally>& tallies) {
  if (address.empty())
    return;
  const tally_call call{settings_.instance, tallies};
  if (address == settings_.peer_address)
    return TakeGrants(cluster_->ExchangeTallies(call));
  const timestamp called_at = clock_->Now();
  try {
    const peer_answer answer =
        link_->Call(address, call, called_at + kPeerCallLimit);
    const auto* granted = std::get_if<tally_answer>(&answer);
    if (!granted)
      return;
    std::vector<quota_grant> grants = granted->grants;
    for (quota_grant& grant : grants)
      grant.deadline = called_at + kQuotaValidity;
    TakeGrants(grants);
  } catch (const peer_error&) {
    // The grants held lapse, and with them this owner's word.
  }
}

void peer_exchange::TakeGrants(const std::vector<quota_grant>& grants) {
  admission_.OnGrants(grants);
  limits_.OnGrants(grants);
}

void peer_exchange::Permits() {
  std::vector<cold_request> requests;
  for (const cold_load& load : admission_.ColdLoads()) {
    if (DomainOf(load.target) == settings_.domain)
      requests.push_back(
          cluster_->AskFor(load.target, load.running, load.wanted + 1));
  }
  if (requests.empty())
    return;
  const auto ranked = duties_.Ranked(ColdLeaseName(settings_.domain));
  for (std::size_t i = 0; i < std::min(kStewardCandidates, ranked.size());
       ++i) {
    if (AskSteward(ranked[i], requests))
      return;
  }
}

// Returns whether `member` holds the lease and answered.
bool peer_exchange::AskSteward(const member_record& member,
                               const std::vector<cold_request>& requests) {
  const permit_call call{settings_.instance, requests};
  const timestamp called_at = clock_->Now();
  std::vector<cold_permit> permits;
  if (member.id == settings_.instance) {
    permits = cluster_->ExchangePermits(call);
  } else {
    try {
      const peer_answer answer =
          link_->Call(member.address, call, called_at + kPeerCallLimit);
      if (const auto* granted = std::get_if<permit_answer>(&answer))
        permits = granted->permits;
    } catch (const peer_error&) {
      return false;
    }
  }
  bool is_steward = false;
  for (const cold_permit& permit : permits) {
    cluster_->OnPermit(permit, called_at);
    is_steward |= permit.epoch != 0;
  }
  return is_steward;
}

}  // namespace wist
