#ifndef ADMISSION_ADMISSION_TYPES_H_
#define ADMISSION_ADMISSION_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

using request_number = std::uint64_t;

// Properties of a generation that are known before it runs.
struct admission_request {
  workspace_id workspace;
  service_id service;
  std::int64_t prompt_tokens = 0;
  // Requests with lower values are served first and shed last.
  std::int32_t priority = 1;
  // The request is shed if its first token is not expected by this time.
  timestamp first_token_deadline;
  // Identifies the shared prompt prefix for cache affinity; empty for none.
  std::string prefix;
  std::int64_t prefix_tokens = 0;
  // Targets that have already refused or failed this request.
  std::vector<target_id> excluded;
};

// Load reported by a target. Memory is counted in tokens.
struct target_report {
  timestamp taken_at;
  std::int32_t running = 0;
  std::int32_t waiting = 0;
  std::int64_t memory_used = 0;
  std::int64_t memory_total = 0;
  bool cold = false;

  auto operator<=>(const target_report&) const = default;
};

// The request is to be sent to `target` now.
struct request_admitted {
  request_number request = 0;
  target_id target;
  bool cold = false;
};

enum class shed_reason { no_target, deadline, queue_full };

// The request is rejected. It was not sent to any target.
struct request_shed {
  request_number request = 0;
  shed_reason reason = shed_reason::deadline;
  timestamp retry_at;
};

using admission_decision = std::variant<request_admitted, request_shed>;

enum class generation_end {
  finished,   // The complete response was received.
  cancelled,  // Cancelled by its caller, so its full length is unknown.
  failed,     // Ended early by a failure of its target.
};

struct admission_settings {
  // Safety margin of the memory forecast in standard deviations. A target runs
  // out of memory with about the one-sided normal tail probability of this
  // value.
  double risk_z_score = 4.0;
  // Fraction of a target's memory that is kept free.
  double reserved_memory_fraction = 0.02;
  // Upper bound on the generations that run concurrently on a target, so that
  // decoding steps meet the objective for time between tokens; 0 for no bound.
  std::int32_t max_running_per_target = 0;
  // A target whose latest report is older than this is not used.
  milliseconds report_validity{5000};
  // A target that has the prefix cached is preferred as long as its planned
  // memory exceeds that of the least loaded target by at most this fraction.
  double prefix_affinity_slack = 0.10;
  // How long a prefix is assumed to stay cached after its last use.
  seconds prefix_validity{60};
  // Maximum number of targets considered for one rule.
  std::size_t subset_size = 16;
  std::size_t max_queued = 512;
};

}  // namespace wist

#endif  // ADMISSION_ADMISSION_TYPES_H_
