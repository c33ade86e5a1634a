#ifndef SELECTION_BRITTLE_TARGETS_H_
#define SELECTION_BRITTLE_TARGETS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "directory/directory_types.h"
#include "selection/selection_types.h"

namespace wist {

// Load on a target that is about to be chosen.
struct brittle_load {
  std::int32_t slots = 1;
  std::int32_t own_runs = 0;
  // Runs of all instances, as far as they are known.
  std::int32_t runs = 0;
  // Refusals that other instances received in the last second.
  std::int32_t others_refusals = 0;
};

// Place of this instance among those that send to the same targets.
struct fleet_position {
  std::size_t instance_count = 1;
  // Position by name; all instances have a different one.
  std::size_t ordinal = 0;
};

// Limits the runs and the refusals of targets that state that they fail if they
// have to refuse more requests in a second than they tolerate. All targets of a
// service count as brittle while one of them does. Not thread-safe; reads no
// clock.
class brittle_targets {
 public:
  // A response of the target stated how many refusals in a second it tolerates,
  // over all instances. Returns whether its service was not brittle before.
  bool OnStated(const target_entry& target,
                std::int32_t tolerated_refusals,
                timestamp now);

  // Sets whether the target stated it to other instances in the last second,
  // according to their reports.
  void SetStatedToOthers(const target_entry& target,
                         bool is_stated,
                         timestamp now);

  // Whether the target stated it to this instance in the last second.
  bool IsStatedRecently(const target_id& target, timestamp now) const;

  // The target refused a request of this instance for want of room. Counts only
  // while its service is brittle.
  void OnRefusal(const target_entry& target, timestamp now);

  bool IsBrittle(const service_id& service, timestamp now) const;

  // Refusals that this instance received in the last second.
  std::int32_t RecentRefusals(const target_id& target, timestamp now) const;

  // When this instance may use the target again, if it has used up its share of
  // the tolerated refusals.
  std::optional<timestamp> LeftOutUntil(const target_entry& target,
                                        const brittle_load& load,
                                        const fleet_position& position,
                                        timestamp now) const;

  // Whether a run may begin on the target, in a slot that is assigned to this
  // instance.
  bool AllowsOwnSlot(const target_entry& target,
                     const brittle_load& load,
                     const fleet_position& position,
                     timestamp now) const;

  // The number of slots that may be used by any instance.
  std::int32_t FreeSlots(const target_entry& target,
                         const brittle_load& load,
                         const fleet_position& position,
                         timestamp now) const;

  // Discards the state of targets for which `is_removed` returns true.
  template <typename Predicate>
  void Prune(Predicate is_removed) {
    const auto is_entry_removed = [&](const auto& entry) {
      return is_removed(entry.first);
    };
    std::erase_if(targets_, is_entry_removed);
    std::erase_if(stated_to_others_, is_entry_removed);
  }

 private:
  struct target_state {
    // Start of the process that made the statement.
    std::int64_t started_at = 0;
    std::int32_t tolerated_refusals = 0;
    std::optional<timestamp> stated_at;
    std::deque<timestamp> refusals;
  };

  struct service_state {
    std::int32_t tolerated_refusals = 0;
    timestamp stated_at{};
    // Start of the present time in which the service is brittle.
    timestamp began_at{};
  };

  // Records a statement about a target of the service. Returns whether the
  // service was not brittle before.
  bool Begin(const service_id& service, timestamp now);

  // Returns nothing if the target's service is not brittle.
  std::optional<std::int32_t> ToleratedRefusals(const target_entry& target,
                                                timestamp now) const;

  // Time in which this instance may cause one refusal by the use of free slots.
  static microseconds RefusalInterval(std::int32_t tolerated,
                                      const fleet_position& position);

  std::unordered_map<target_id, target_state> targets_;
  std::unordered_map<service_id, service_state> services_;
  // Service of each target that stated it to others.
  std::unordered_map<target_id, service_id> stated_to_others_;
};

}  // namespace wist

#endif  // SELECTION_BRITTLE_TARGETS_H_
