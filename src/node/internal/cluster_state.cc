#include "node/internal/cluster_state.h"

#include "cluster/cluster_module.h"
#include "coldstart/coldstart_module.h"
#include "framework/base/hashing.h"
#include "quota/quota_module.h"

namespace wist {
namespace {

member_record SelfRecord(const node_settings& settings, const i_clock& clock) {
  member_record self;
  self.id = settings.instance;
  self.domain = settings.domain;
  self.address = settings.peer_address;
  self.incarnation = static_cast<std::uint64_t>(
      clock.CalendarNow().time_since_epoch().count());
  return self;
}

}  // namespace

cluster_state::cluster_state(const node_settings& settings,
                             std::shared_ptr<const i_clock> clock)
    : clock_(std::move(clock)),
      view_(MakeClusterView({},
                            SelfRecord(settings, *clock_),
                            StableHash(settings.instance.text()))),
      cold_start_limiter_(
          MakeColdStartLimiter({}, settings.domain, clock_->Now())),
      cold_start_coordinator_(MakeColdStartCoordinator({})),
      quota_allocator_(MakeQuotaAllocator()) {}

bool cluster_state::MayDispatch(const target_spec& target,
                                timestamp now) const {
  std::lock_guard lock(mutex_);
  return target.state == target_state::active &&
         view_->MayDispatchInto(target.domain, now);
}

std::int32_t cluster_state::ColdRequestLimit(const target_spec& target,
                                             timestamp now) const {
  std::lock_guard lock(mutex_);
  return cold_start_limiter_->RequestLimit(target.id, now);
}

void cluster_state::ApplyConfiguration(const configuration_document& document) {
  std::lock_guard lock(mutex_);
  view_->OnConfiguration(document);
  cold_start_limiter_->ApplyConfiguration(document.body);
  cold_start_coordinator_->ApplyConfiguration(document.body);
}

void cluster_state::OnReport(const target_id& target,
                             const target_report& report) {
  std::lock_guard lock(mutex_);
  cold_start_coordinator_->OnReport(target, report, clock_->Now());
}

void cluster_state::OnColdLease(const kv_lease& lease) {
  std::lock_guard lock(mutex_);
  cold_lease_ = lease;
  cold_start_coordinator_->OnLease(lease, clock_->Now());
}

void cluster_state::OnStoreRead(std::int64_t version, timestamp read_at) {
  std::lock_guard lock(mutex_);
  view_->OnStoreRead(version, read_at);
}

void cluster_state::AddSeed(const std::string& address) {
  std::lock_guard lock(mutex_);
  view_->AddSeed(address);
}

void cluster_state::SetLeaving() {
  std::lock_guard lock(mutex_);
  view_->SetLeaving();
}

gossip_message cluster_state::MakeGossip() {
  std::lock_guard lock(mutex_);
  return view_->BuildGossip(clock_->Now());
}

void cluster_state::OnGossipResponse(const gossip_message& received,
                                     timestamp called_at) {
  std::lock_guard lock(mutex_);
  view_->OnGossipResponse(received, called_at, clock_->Now());
}

void cluster_state::OnGossipCall(const gossip_message& received) {
  std::lock_guard lock(mutex_);
  view_->OnGossipRequest(received, clock_->Now());
}

std::vector<quota_grant> cluster_state::OnTallyCall(const tally_call& call) {
  std::lock_guard lock(mutex_);
  return quota_allocator_->Exchange(call.member, call.tallies, clock_->Now());
}

std::vector<cold_permit> cluster_state::OnPermitCall(const permit_call& call) {
  std::lock_guard lock(mutex_);
  return cold_start_coordinator_->IssuePermits(call.member, call.requests,
                                               clock_->Now());
}

void cluster_state::OnPermit(const cold_permit& permit,
                             timestamp requested_at) {
  std::lock_guard lock(mutex_);
  cold_start_limiter_->OnPermit(permit, requested_at);
}

cold_permit_request cluster_state::MakePermitRequest(
    const target_id& target,
    std::int32_t running,
    std::int32_t wanted) const {
  std::lock_guard lock(mutex_);
  return cold_start_limiter_->BuildPermitRequest(target, running, wanted);
}

std::optional<std::string> cluster_state::NextPeer() {
  std::lock_guard lock(mutex_);
  return view_->NextPeer(clock_->Now());
}

std::vector<member_record> cluster_state::LiveMembers() const {
  std::lock_guard lock(mutex_);
  return view_->LiveMembers(clock_->Now());
}

std::vector<member_record> cluster_state::LiveMembersInDomain(
    const domain_id& domain) const {
  std::lock_guard lock(mutex_);
  return view_->LiveMembersInDomain(domain, clock_->Now());
}

bool cluster_state::StoreIsFresh() const {
  std::lock_guard lock(mutex_);
  return view_->StoreIsFresh(clock_->Now());
}

bool cluster_state::IsSuperseded() const {
  std::lock_guard lock(mutex_);
  return view_->IsSuperseded();
}

bool cluster_state::HoldsColdLease() const {
  std::lock_guard lock(mutex_);
  return cold_lease_ && clock_->Now() < cold_lease_->deadline;
}

}  // namespace wist
