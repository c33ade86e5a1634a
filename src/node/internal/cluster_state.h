#ifndef NODE_INTERNAL_CLUSTER_STATE_H_
#define NODE_INTERNAL_CLUSTER_STATE_H_

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "admission/i_target_gate.h"
#include "cluster/i_cluster_view.h"
#include "coldstart/i_cold_start_coordinator.h"
#include "coldstart/i_cold_start_limiter.h"
#include "framework/base/i_clock.h"
#include "node/node_module.h"
#include "peer_link/peer_types.h"
#include "quota/i_quota_allocator.h"

namespace wist {

// The state of the cluster as known to this instance: the members, the cold
// permits and the quota tallies, all protected by one mutex. Thread-safe.
//
// The mutexes of a node are locked in this order: blocking_admission,
// request_limits, cluster_state.
class cluster_state final : public i_target_gate {
 public:
  cluster_state(const node_settings& settings,
                std::shared_ptr<const i_clock> clock);

  // i_target_gate:
  bool MayDispatch(const target_spec& target, timestamp now) const override;
  std::int32_t ColdRequestLimit(const target_spec& target,
                                timestamp now) const override;

  void ApplyConfiguration(const configuration_document& document);
  void OnReport(const target_id& target, const target_report& report);
  void OnColdLease(const kv_lease& lease);
  void OnStoreRead(std::int64_t version, timestamp read_at);
  void AddSeed(const std::string& address);
  void SetLeaving();

  gossip_message MakeGossip();
  void OnGossipResponse(const gossip_message& received, timestamp called_at);
  void OnGossipCall(const gossip_message& received);
  std::vector<quota_grant> OnTallyCall(const tally_call& call);
  std::vector<cold_permit> OnPermitCall(const permit_call& call);
  void OnPermit(const cold_permit& permit, timestamp requested_at);
  cold_permit_request MakePermitRequest(const target_id& target,
                                        std::int32_t running,
                                        std::int32_t wanted) const;

  std::optional<std::string> NextPeer();
  std::vector<member_record> LiveMembers() const;
  std::vector<member_record> LiveMembersInDomain(const domain_id& domain) const;
  bool StoreIsFresh() const;
  bool IsSuperseded() const;
  bool HoldsColdLease() const;

 private:
  const std::shared_ptr<const i_clock> clock_;
  mutable std::mutex mutex_;
  std::unique_ptr<i_cluster_view> view_;
  std::unique_ptr<i_cold_start_limiter> cold_start_limiter_;
  std::unique_ptr<i_cold_start_coordinator> cold_start_coordinator_;
  std::unique_ptr<i_quota_allocator> quota_allocator_;
  std::optional<kv_lease> cold_lease_;
};

}  // namespace wist

#endif  // NODE_INTERNAL_CLUSTER_STATE_H_
