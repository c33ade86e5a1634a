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

// What is known of a generation before it runs.
struct admission_request {
  workspace_id workspace;
  service_id service;
  std::int64_t prompt_tokens = 0;
  // Lower values are shed later.
  std::int32_t priority = 1;
  // Shed if the first token is not expected by then.
  timestamp start_deadline;
  // Names the shared beginning of the prompt; empty for none.
  std::string prefix;
  std::int64_t prefix_tokens = 0;
  // Targets that refused or failed this request before.
  std::vector<target_id> excluded;
};

// Load as a target reported it.
struct target_report {
  timestamp taken_at;
  std::int32_t running = 0;
  std::int32_t waiting = 0;
  std::int64_t memory_used = 0;
  std::int64_t memory_total = 0;
  bool cold = false;

  auto operator<=>(const target_report&) const = default;
};

// The request goes to `target` now.
struct request_admitted {
  request_number request = 0;
  target_id target;
  bool cold = false;
};

enum class shed_reason { no_target, deadline, queue_full };

// The request is refused and was not sent anywhere.
struct request_shed {
  request_number request = 0;
  shed_reason reason = shed_reason::deadline;
  timestamp retry_at;
};

using admission_event = std::variant<request_admitted, request_shed>;

enum class generation_end {
  finished,  // The whole answer was received.
  stopped,   // Ended early by its caller: its full length is not known.
  failed,    // Ended early by its target.
};

struct admission_settings {
  // Chance accepted that memory runs out, as the normal deviate of one minus
  // it.
  double risk_deviate = 4.0;
  // Part of a target's memory that is never planned for.
  double memory_reserve = 0.02;
  // Forecasts assume this many generations at the most, so that steps stay
  // within the objective between tokens; 0 for no bound.
  std::int32_t max_running_a_target = 0;
  // A target whose report is older than this counts as gone.
  milliseconds report_validity{5000};
  // How much more loaded a target with a cached prefix may be than the least
  // loaded one, as a part of its memory.
  double prefix_slack = 0.10;
  // How long a prefix is believed to stay cached after its last use.
  seconds prefix_validity{60};
  // Targets considered for one rule at the most.
  std::size_t subset_size = 16;
  std::size_t max_queued = 512;
};

}  // namespace wist

#endif  // ADMISSION_ADMISSION_TYPES_H_
