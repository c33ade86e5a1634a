#ifndef ROLLOUT_ROLLOUT_TRACKER_H_
#define ROLLOUT_ROLLOUT_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "rollout/rollout_judge.h"
#include "rollout/rollout_types.h"

namespace wist {

struct rollout_settings {
  double canary_share = 0.1;
  double canary_slack = 50;  // Requests.
  // Time before the deadline at which the shift begins, and before that the
  // time for which the share is raised; each at most a quarter of the duration.
  milliseconds shift_lead{3000};
  milliseconds ramp_lead{2000};
  // Time for which the version has to keep its behaviour under full traffic
  // before the roll-out succeeds.
  milliseconds min_shift{1500};
  // Time after which a request is reported as invalid because of the registered
  // targets or the configuration, which may arrive later than it.
  milliseconds settling_time{2000};
  // Minimum time between two status writes for one service, so that a write
  // without a response is not repeated at once.
  milliseconds write_interval{500};
  judge_settings judge;
};

// The time by both clocks.
struct rollout_time {
  timestamp now;
  calendar_time calendar;
};

// A target that is registered for a service.
struct rollout_target {
  target_id id;
  service_id service;
  version_name version;
  domain_id domain;
  std::int64_t started_at = 0;  // Milliseconds of calendar time.
  bool accepts_work = true;     // Neither leaving nor in an evacuated domain.
  bool evacuated = false;       // Its domain is evacuated.

  auto operator<=>(const rollout_target&) const = default;
};

// Identifies one roll-out: sums and counts of another one are ignored.
struct rollout_id {
  service_id service;
  std::int64_t request_revision = 0;

  auto operator<=>(const rollout_id&) const = default;
};

// Reports of the other instances about one roll-out.
struct fleet_report {
  // Sums of the samples of all other instances.
  version_samples samples;
  // Sum of `rollout_view::unfinished_here` of all other instances; nothing
  // while the report of an announced instance is missing.
  std::optional<std::uint64_t> unfinished;
  // Time of the oldest report in `unfinished`.
  timestamp as_of;
};

// A status to write, conditional on the revisions of both keys.
struct status_write {
  service_id service;
  rollout_status status;
  std::int64_t request_revision = 0;
  std::int64_t status_revision = 0;  // 0: the key does not exist.

  auto operator<=>(const status_write&) const = default;
};

// Runs that should be moved to the other version.
enum class runs_to_move { none, on_old, on_new };

// What an instance does about one service.
struct rollout_view {
  version_rule rule;
  runs_to_move move = runs_to_move::none;
  // The running roll-out, for which samples are collected and reported.
  std::optional<rollout_id> active;
  // To be reported to the other instances: open runs on old targets, plus one
  // while this instance may still send requests to them.
  std::uint64_t unfinished_here = 0;
};

// State changes, one log line each.
struct request_accepted {
  rollout_request request;
};
struct request_rejected {
  service_id service;
  invalid_request reason;
};
struct request_ended {  // Removed or replaced without a decision.
  service_id service;
  bool replaced = false;
};
struct phase_changed {
  service_id service;
  version_rule rule;
};
struct verdict_reached {
  service_id service;
  bad_verdict verdict;
  stratum_counts samples;  // Sums over all routes.
};
using rollout_event = std::variant<request_accepted,
                                   request_rejected,
                                   request_ended,
                                   phase_changed,
                                   verdict_reached>;
struct service_event {
  std::int64_t request_revision = 0;
  rollout_event event;
};

// One instance's view of all roll-outs. Not thread-safe; reads no clock. Rows
// that were read together from the store, as one snapshot, are passed in
// without a call of `Advance` between them.
class rollout_tracker {
 public:
  explicit rollout_tracker(const rollout_settings& settings);

  // Services of the configuration.
  void SetServices(std::set<service_id> services);
  // All registered targets.
  void SetTargets(std::vector<rollout_target> targets);

  // The key of the roll-out request of `service` has this content. A repeated
  // or lower revision is ignored.
  void OnRequest(const service_id& service,
                 const decoded_rollout_request& request,
                 std::int64_t revision,
                 const rollout_time& time);
  void OnRequestRemoved(const service_id& service, const rollout_time& time);
  void OnStatus(const service_id& service,
                const rollout_status& status,
                std::int64_t revision,
                const rollout_time& time);
  // The status key does not exist, or its content cannot be decoded
  // (`revision` > 0).
  void OnStatusMissing(const service_id& service,
                       std::int64_t revision,
                       const rollout_time& time);

  // A response that this instance received. Ignored without an active roll-out.
  void OnResponse(const service_id& service,
                  const sample_stratum& stratum,
                  const version_name& version,
                  const response_sample& sample);
  // Open runs of this instance on targets of each version of the service.
  void SetOpenRuns(const service_id& service,
                   const std::map<version_name, std::uint64_t>& open_runs);
  // Ignored if `id` is not the active roll-out.
  void SetFleetReport(const rollout_id& id, fleet_report report);
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }

  // Judges the samples and advances the phases. To be called after inputs and
  // at least every 100 ms while a roll-out is active. Returns what changed.
  std::vector<service_event> Advance(const rollout_time& time);

  // Views as of the last `Advance`.
  const rollout_view& ViewOf(const service_id& service) const;
  // Samples of this instance, to be reported; null without an active roll-out.
  const version_samples* OwnSamples(const service_id& service) const;
  // Services with an active roll-out.
  std::vector<rollout_id> ActiveRollouts() const;

  // Status writes that are due. Called only by an instance that may decide.
  std::vector<status_write> TakeWrites(const rollout_time& time);

 private:
  const rollout_settings settings_;
  bool store_reachable_ = true;
};

}  // namespace wist

#endif  // ROLLOUT_ROLLOUT_TRACKER_H_
