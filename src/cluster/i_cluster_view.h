#ifndef CLUSTER_I_CLUSTER_VIEW_H_
#define CLUSTER_I_CLUSTER_VIEW_H_

#include <optional>
#include <vector>

#include "cluster/cluster_types.h"

namespace wist {

// One instance's view of the cluster, maintained by gossip: which instances are
// live, and how recent its knowledge of the configuration is. Not thread-safe;
// callers pass the current time.
class i_cluster_view {
 public:
  virtual ~i_cluster_view() = default;

  // Advances this instance's heartbeat and returns a message for another one.
  virtual gossip_message BuildGossip(timestamp now) = 0;

  // Merges the response to a request that was sent at `requested_at`. Ages in
  // it count from that time, so that a delay on the link can only make
  // information look older than it is, never more recent.
  virtual void OnGossipResponse(const gossip_message& message,
                                timestamp requested_at,
                                timestamp now) = 0;

  // Merges the member records of a request from another instance. Its domain
  // statuses and store status are ignored, because it is unknown how long the
  // request was in transit.
  virtual void OnGossipRequest(const gossip_message& message,
                               timestamp now) = 0;

  // Adds the address of an instance that may not be known as a member yet.
  virtual void AddSeed(const std::string& address) = 0;

  // Returns the address of the next gossip peer, alternating between the own
  // failure domain and the others, or nullopt if no address is known.
  virtual std::optional<std::string> NextPeer(timestamp now) = 0;

  // Returns the live members that are not leaving, including this instance.
  virtual std::vector<member_record> LiveMembers(timestamp now) const = 0;
  virtual std::vector<member_record> LiveMembersInDomain(
      const domain_id& domain,
      timestamp now) const = 0;

  // Records the configuration that this instance uses, and the version that the
  // store held when it was read.
  virtual void OnConfiguration(const configuration_document& document) = 0;
  virtual void OnStoreRead(std::int64_t version, timestamp read_at) = 0;

  // Returns whether new work may be sent to targets in `domain`.
  virtual bool MayDispatchInto(const domain_id& domain,
                               timestamp now) const = 0;

  // Returns whether the store was read less than the status validity ago.
  virtual bool StoreIsFresh(timestamp now) const = 0;

  virtual void SetLeaving() = 0;

  // Returns whether a newer process uses this instance's identifier.
  virtual bool IsSuperseded() const = 0;
};

}  // namespace wist

#endif  // CLUSTER_I_CLUSTER_VIEW_H_
