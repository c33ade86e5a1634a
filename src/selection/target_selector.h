#ifndef SELECTION_TARGET_SELECTOR_H_
#define SELECTION_TARGET_SELECTOR_H_

#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

#include "directory/target_directory.h"
#include "routing/route_table.h"
#include "selection/brittle_targets.h"
#include "selection/prefill_estimator.h"
#include "selection/prefill_speeds.h"
#include "selection/selection_types.h"
#include "selection/target_choice.h"
#include "selection/target_health.h"
#include "selection/unseen_starts_estimator.h"

namespace wist {

// Chooses targets by the load that all instances have placed on them and by the
// outcomes of recent runs. Not thread-safe; reads no clock.
class target_selector {
 public:
  target_selector(const selection_settings& settings,
                  const target_directory& directory,
                  std::uint32_t seed,
                  target_chooser chooser = ChooseByExpectedStarts);

  void ApplyConfiguration(std::shared_ptr<const route_table> table);

  // Sets the number of instances that send to the same targets, including this
  // one, and its position among them.
  void SetInstanceCount(std::size_t count) { SetPosition({count, 0}); }
  void SetPosition(const fleet_position& position);

  selection Choose(const selection_request& request, timestamp now);

  // Returns the time after which a target may be available; zero if targets
  // only lack capacity.
  milliseconds RetryAfter(const selection_request& request,
                          timestamp now) const {
    return Unavailable(request, now).retry_after;
  }

  // The target accepts no requests from this instance before `deadline`.
  void OnPauseRequested(const target_id& target, timestamp deadline);

  // When the pause ends that the target has requested; nothing if there is
  // none.
  std::optional<timestamp> PausedUntil(const target_id& target,
                                       timestamp now) const;

  // A response of the target stated how many refusals in a second it tolerates,
  // over all instances. Returns whether its service was not brittle before.
  bool OnBrittleStated(const target_entry& target,
                       std::int32_t tolerated_refusals,
                       timestamp now) {
    return brittle_targets_.OnStated(target, tolerated_refusals, now);
  }

  bool IsBrittle(const service_id& service, timestamp now) const {
    return brittle_targets_.IsBrittle(service, now);
  }

  // The target refused a request for want of room.
  void OnRefusedForRoom(const target_entry& target, timestamp now);

  // Chooses a target to which a run on `from` can be moved.
  selection ChooseReceiver(const target_id& from,
                           const selection_request& request,
                           timestamp now);

  // Chooses a target to hold a backup copy of a run's KV cache: in a different
  // failure domain from the run's, with the lowest memory use, which must be
  // below `backup_fill_limit`. Returns nothing if there is none, or if the
  // service as a whole exceeds `backup_service_fill_limit`.
  std::optional<target_id> ChooseBackup(const target_id& from,
                                        const selection_request& request,
                                        timestamp now) const;

  // Counts a backup copy of a run's KV cache as load until EndRun.
  run_number BeginBackup(const target_id& target,
                         const selection_request& request,
                         timestamp now);

  // Counts a run as load until EndRun.
  run_number BeginRun(const target_id& target,
                      const selection_request& request,
                      timestamp now);
  void OnFirstOutput(run_number run, timestamp now);
  void EndRun(run_number run, run_end end, timestamp now);

  // Returns the load on a target from all instances.
  target_load TotalLoad(const target_id& target) const;

  // Returns the load placed by this instance, to be reported to its peers.
  std::vector<target_load> OwnLoads(timestamp now) const;

  // Sets the load that all other instances together have placed on a target.
  // `now` is when it was reported.
  void SetOthersLoad(const target_load& load, timestamp now);

  // Whether several targets in other failure domains could not be reached
  // recently, as when the domain is cut off.
  bool IsBorderSuspect(timestamp now) const;

  // Discards the state of idle targets that are no longer in the directory.
  void PruneRemovedTargets();

 private:
  struct run {
    target_id target;
    generation_size size;
    service_id service;
    // Prompt tokens that the engine processes before the run's first output,
    // including the run's own.
    std::int64_t prefill_backlog_tokens = 0;
    // The run's own prompt tokens; zero after its first output.
    std::int64_t pending_prefill_tokens = 0;
    bool has_output = false;
    bool is_backup = false;
    timestamp started_at;
  };

  struct choice_rules {
    // Whether targets are avoided that other instances report as failing.
    bool uses_peer_reports = true;
    // Whether slots of brittle targets are used that are assigned to others.
    bool uses_free_slots = true;
  };

  struct target_state {
    target_load own_load;
    target_health health;
    std::deque<timestamp> recent_starts;
  };

  run_number AddRun(const target_id& target,
                    const selection_request& request,
                    bool is_backup,
                    timestamp now);
  const known_target* FindTarget(const routed_service& service,
                                 const selection_request& request,
                                 const choice_rules& rules,
                                 timestamp now);
  // Whether the request may use a slot of a brittle target that is assigned to
  // another instance. Drawn so that the instances together take no more slots
  // than are free.
  bool DrawFreeSlot(const selection_request& request,
                    const routed_service& service,
                    timestamp now);
  // Returns how many requests other instances are expected to have sent to the
  // service since the loads were reported.
  double UnseenStarts(const selection_request& request, timestamp now) const;
  selection_error Unavailable(const selection_request& request,
                              timestamp now) const;
  bool IsEligible(const known_target& target,
                  const selection_request& request) const;
  bool IsReportedFailing(const target_id& target) const;
  // Returns nothing if the target can't take the request.
  std::optional<choice_candidate> MakeCandidate(
      const known_target& target,
      const routed_service& service,
      const selection_request& request,
      const choice_rules& rules,
      timestamp now) const;
  void ObserveBacklog(const target_id& target, timestamp now);
  bool IsLastOfDomain(const known_target& target) const;
  bool HasBrittleRoom(const known_target& target,
                      const routed_service& service,
                      const selection_request& request,
                      const choice_rules& rules,
                      timestamp now) const;
  brittle_load BrittleLoad(const known_target& target,
                           const routed_service& service) const;
  std::optional<timestamp> NotUsedUntil(const known_target& target,
                                        const selection_request& request,
                                        timestamp now) const;
  bool IsWithinColdLimit(const known_target& target,
                         const routed_service& service,
                         timestamp now) const;
  const target_state* FindState(const target_id& target) const;

  const selection_settings settings_;
  const target_directory& directory_;
  const target_chooser chooser_;
  std::shared_ptr<const route_table> table_;
  std::unordered_map<target_id, target_state> states_;
  std::unordered_map<target_id, target_load> others_loads_;
  std::unordered_map<run_number, run> runs_;
  std::unordered_map<std::string, target_id> session_targets_;
  std::unordered_map<service_id, prefill_estimator> prefill_estimators_;
  std::unordered_map<service_id, prefill_speeds> prefill_speeds_;
  std::unordered_map<service_id, unseen_starts_estimator> unseen_starts_;
  report_age_estimator report_age_;
  brittle_targets brittle_targets_;
  run_number next_run_number_ = 1;
  fleet_position position_;
  // Attempts to choose a target, while the service is brittle.
  std::unordered_map<service_id, unseen_starts_estimator> attempts_;
  // When targets in other failure domains could not be reached last.
  std::unordered_map<target_id, timestamp> unreachable_abroad_;
  std::minstd_rand random_generator_;
};

}  // namespace wist

#endif  // SELECTION_TARGET_SELECTOR_H_
