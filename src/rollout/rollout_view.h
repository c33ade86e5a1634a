#ifndef ROLLOUT_ROLLOUT_VIEW_H_
#define ROLLOUT_ROLLOUT_VIEW_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "rollout/rollout_judge.h"
#include "rollout/rollout_types.h"

namespace wist {

struct rollout_settings {
  double canary_share = 0.1;
  double canary_slack = 50;  // Requests.
  // Bounds of the time before the deadline at which the shift begins. Within
  // them it is `min_shift`, the age of the reports and `shift_margin`.
  milliseconds min_shift_lead{2500};
  milliseconds max_shift_lead{5000};
  // Time for the status writes and for the moves of runs.
  milliseconds shift_margin{1700};
  // Time before the shift during which the share is raised.
  milliseconds ramp_lead{2000};
  // Time for which the version has to keep its behaviour under full traffic, as
  // the reports of all instances show, before the roll-out succeeds.
  milliseconds min_shift{1000};
  // Time after which a request is reported as invalid because of the registered
  // targets or the configuration, which may arrive later than it.
  milliseconds settling_time{2000};
  // Time for which the samples have to be observed before they can be too few:
  // an instance that has just started lacks the reports of the others.
  milliseconds min_observation{2500};
  // Minimum time between two status writes for one service without news of its
  // keys, so that a write without a response is not repeated at once.
  milliseconds write_interval{500};
  judge_settings judge;

  auto operator<=>(const rollout_settings&) const = default;
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
  timestamp as_of{};
  // Another instance has found the new version bad (`rollout_view::bad`).
  bool found_bad = false;
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
  // The bad verdict of this instance, to be reported as well.
  std::optional<bad_verdict> bad;
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

}  // namespace wist

#endif  // ROLLOUT_ROLLOUT_VIEW_H_
