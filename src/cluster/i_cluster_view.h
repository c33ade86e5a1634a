#ifndef CLUSTER_I_CLUSTER_VIEW_H_
#define CLUSTER_I_CLUSTER_VIEW_H_

#include <optional>
#include <vector>

#include "cluster/cluster_types.h"

namespace wist {

// What one instance knows of the others: who is alive, and how recent its
// knowledge of the configuration is. Not thread-safe; reads no clock.
class i_cluster_view {
 public:
  virtual ~i_cluster_view() = default;

  // Counts one heartbeat and returns what to tell another instance.
  virtual gossip Tell(timestamp now) = 0;

  // Takes an answer to a call that was made at `called_at`. Ages in it count
  // from then, so that a stalled link makes word older and never younger.
  virtual void OnAnswer(const gossip& told,
                        timestamp called_at,
                        timestamp now) = 0;

  // Takes the other side's part of a call. Its word is not used: how long the
  // call was under way is not known.
  virtual void OnCall(const gossip& told, timestamp now) = 0;

  // Notes an address of an instance that is not known yet.
  virtual void AddSeed(const std::string& address) = 0;

  // Returns the address to exchange gossip with next: in the own failure
  // domain and in others in turn; nothing if none is known.
  virtual std::optional<std::string> NextPeer(timestamp now) = 0;

  // Live members, this instance included unless it is leaving.
  virtual std::vector<member_record> LiveMembers(timestamp now) const = 0;
  virtual std::vector<member_record> LiveMembersOf(const domain_id& domain,
                                                   timestamp now) const = 0;

  // The configuration in force here, and what the store was seen to hold.
  virtual void OnConfiguration(const configuration_document& document) = 0;
  virtual void OnStoreRead(std::int64_t version, timestamp read_at) = 0;

  // Whether new work may go into `domain` now.
  virtual bool MayDispatchInto(const domain_id& domain,
                               timestamp now) const = 0;

  // Whether the store was seen less than the word validity ago.
  virtual bool StoreIsFresh(timestamp now) const = 0;

  virtual void SetLeaving() = 0;

  // Whether a newer process uses this instance's name.
  virtual bool Superseded() const = 0;
};

}  // namespace wist

#endif  // CLUSTER_I_CLUSTER_VIEW_H_
