#ifndef PEERS_ROLLOUT_TABLE_H_
#define PEERS_ROLLOUT_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "peers/peer_report.h"

namespace wist {

// The sums of roll-outs that this instance and each of its neighbors reported,
// and those to be passed on. Every instance is counted once in each sum, since
// the links between instances form a tree. Not thread-safe; reads no clock.
class rollout_table {
 public:
  // Replaces the sums of this instance.
  void SetOwn(std::vector<rollout_sums> own);

  // Sets the sums behind a neighbor for the reported roll-outs.
  void SetReported(const std::string& neighbor,
                   neighbor_role role,
                   const std::vector<rollout_sums>& sums,
                   timestamp now);

  // Removes all sums behind a neighbor.
  void RemoveNeighbor(const std::string& neighbor);

  // Removes sums that were not reported again in time.
  void Expire(timestamp now);

  // Returns the sums over all other instances.
  std::vector<rollout_sums> Others(timestamp now) const;

  // Returns the sums to report to a neighbor, as load_table::LoadFor.
  std::vector<rollout_sums> SumsFor(const std::string& neighbor,
                                    neighbor_role role,
                                    timestamp now) const;

 private:
  struct reported_sums {
    neighbor_role role = neighbor_role::parent;
    rollout_sums sums;
    timestamp received_at;
  };

  using sums_by_id = std::map<rollout_id, rollout_sums>;

  static void Add(sums_by_id& total, const rollout_sums& sums);
  static void Add(sums_by_id& total, const reported_sums& sums, timestamp now);
  static std::vector<rollout_sums> ToList(sums_by_id total);

  std::vector<rollout_sums> own_;
  std::map<std::string, std::map<rollout_id, reported_sums>> reported_;
};

}  // namespace wist

#endif  // PEERS_ROLLOUT_TABLE_H_
