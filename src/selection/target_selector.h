#ifndef SELECTION_TARGET_SELECTOR_H_
#define SELECTION_TARGET_SELECTOR_H_

#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

#include "directory/target_directory.h"
#include "routing/route_table.h"
#include "selection/reading_pace.h"
#include "selection/selection_types.h"
#include "selection/target_health.h"

namespace wist {

// Chooses targets by what runs on them here and elsewhere, and by how they
// answered. Not thread-safe; reads no clock.
class target_selector {
 public:
  target_selector(const selection_settings& settings,
                  const target_directory& directory,
                  std::uint32_t seed);

  void ApplyConfiguration(std::shared_ptr<const route_table> table);

  // How many instances send to the same targets, this one included.
  void SetInstanceCount(std::size_t count);

  selection Choose(const selection_request& request, timestamp now);

  // Chooses where a run on `from` may go on.
  selection ChooseReceiver(const target_id& from,
                           const selection_request& request,
                           timestamp now);

  // Chooses who keeps a copy of a run's memory: in another failure domain than
  // the run's, and only where much room is left. Nothing if there is none.
  std::optional<target_id> ChooseBackup(const target_id& from,
                                        const selection_request& request,
                                        timestamp now) const;

  // Notes a copy of a run's memory until its End.
  run_number BeginCopy(const target_id& target,
                       const selection_request& request,
                       timestamp now);

  // Notes a run until its End.
  run_number Begin(const target_id& target,
                   const selection_request& request,
                   timestamp now);
  void OnFirstOutput(run_number run, timestamp now);
  void End(run_number run, run_end end, timestamp now);

  // What runs on a target by all that is known here.
  target_load TotalLoad(const target_id& target, timestamp now) const;

  // What runs here, to be told to the other instances.
  std::vector<target_load> OwnLoads(timestamp now) const;
  void SetPeerLoads(const std::string& peer,
                    const std::vector<target_load>& loads,
                    timestamp now);

  // Drops what is kept of targets that the directory has forgotten.
  void Expire();

 private:
  struct run {
    target_id target;
    generation_size size;
    service_id service;
    // Prompt tokens to read before its first output, its own included.
    std::int64_t tokens_to_read = 0;
    // Its own prompt tokens until its first output.
    std::int64_t unread_tokens = 0;
    bool has_output = false;
    bool is_copy = false;
    timestamp began_at;
  };

  struct target_state {
    target_load own;
    target_health health;
    std::deque<timestamp> recent_sends;
  };

  struct peer_state {
    std::unordered_map<target_id, target_load> loads;
    timestamp deadline;
  };

  run_number Add(const target_id& target,
                 const selection_request& request,
                 bool is_copy,
                 timestamp now);
  const known_target* Cheapest(const routed_service& service,
                               const selection_request& request,
                               bool heeds_peers,
                               timestamp now) const;
  bool MayTake(const known_target& target,
               const selection_request& request) const;
  bool IsFailingForPeers(const target_id& target, timestamp now) const;
  double CostJitter() const;
  std::optional<double> Cost(const known_target& target,
                             const routed_service& service,
                             const selection_request& request,
                             timestamp now) const;
  std::optional<double> EngineCost(const known_target& target,
                                   const engine_spec& engine,
                                   const selection_request& request,
                                   timestamp now) const;
  bool IsTooSlow(const target_load& load,
                 const selection_request& request) const;
  bool MayBearCold(const known_target& target,
                   const routed_service& service,
                   timestamp now) const;
  const target_state* StateOf(const target_id& target) const;

  const selection_settings settings_;
  const target_directory& directory_;
  std::shared_ptr<const route_table> table_;
  std::unordered_map<target_id, target_state> states_;
  std::unordered_map<std::string, peer_state> peers_;
  std::unordered_map<run_number, run> runs_;
  std::unordered_map<std::string, target_id> sessions_;
  std::unordered_map<service_id, reading_pace> paces_;
  run_number next_run_ = 1;
  std::size_t instance_count_ = 1;
  mutable std::minstd_rand random_;
};

}  // namespace wist

#endif  // SELECTION_TARGET_SELECTOR_H_
