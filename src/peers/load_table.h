#ifndef PEERS_LOAD_TABLE_H_
#define PEERS_LOAD_TABLE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "peers/peer_report.h"

namespace wist {

// The loads on targets that this instance and each of its neighbors reported,
// and the sums to be passed on. Every instance is counted once in each sum,
// since the links between instances form a tree. Not thread-safe; reads no
// clock.
class load_table {
 public:
  // Replaces the loads that this instance has placed.
  void SetOwn(const std::vector<target_load>& loads);

  // Sets the loads behind a neighbor for the reported targets.
  void SetReported(const std::string& neighbor,
                   neighbor_role role,
                   const std::vector<target_load>& loads,
                   timestamp now);

  // Removes all loads behind a neighbor.
  void RemoveNeighbor(const std::string& neighbor);

  // Removes loads that were not reported again in time.
  void Expire(timestamp now);

  // Returns the load of all other instances on a target.
  target_load OthersLoad(const target_id& target) const;

  // Returns the load to report to a neighbor: that of this instance and of all
  // other instances that the neighbor does not receive by another link.
  target_load LoadFor(const std::string& neighbor,
                      neighbor_role role,
                      const target_id& target) const;

  // Returns the targets with any load.
  std::vector<target_id> LoadedTargets() const;

  // Returns the targets whose loads changed since the last call.
  std::set<target_id> TakeChanged();

  // Returns whether prompts were added to any target, or one has refused more
  // requests, since the last call. Other instances that have no report of it
  // yet send their own to the same target.
  bool TakeUrgentChange();

 private:
  struct reported_load {
    neighbor_role role = neighbor_role::parent;
    target_load load;
    timestamp received_at;
  };

  struct row {
    target_load own;
    std::map<std::string, reported_load> reported;
  };

  using reported_predicate =
      std::function<bool(const std::string& neighbor, const reported_load&)>;

  void EraseReported(const reported_predicate& is_erased);
  static bool IsEmpty(const row& held);

  std::map<target_id, row> rows_;
  std::set<target_id> changed_;
  bool has_urgent_change_ = false;
};

}  // namespace wist

#endif  // PEERS_LOAD_TABLE_H_
