#ifndef SELECTION_SELECTION_TYPES_H_
#define SELECTION_SELECTION_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "directory/directory_types.h"
#include "routing/routing_types.h"

namespace wist {

// Expected size of a generation in an engine's KV cache, in tokens.
struct generation_size {
  std::int64_t prompt_tokens = 0;
  std::int64_t expected_output_tokens = 0;

  auto operator<=>(const generation_size&) const = default;

  std::int64_t Total() const { return prompt_tokens + expected_output_tokens; }
};

// The versions of a service's software that may run a request.
struct version_constraint {
  // The only version that may run it; any if not set.
  std::optional<std::string> required;
  std::set<std::string> forbidden;

  auto operator<=>(const version_constraint&) const = default;

  bool Allows(const std::string& version) const {
    return (!required || *required == version) && !forbidden.contains(version);
  }
};

struct selection_request {
  service_id service;
  std::optional<generation_size> size;  // Set for generations.
  // Session affinity key: later requests of the session prefer the engine that
  // already holds its prompt. Empty for none.
  std::string session;
  std::set<target_id> excluded;
  version_constraint versions;
  // Time within which the first output is due; no bound if not set.
  std::optional<milliseconds> first_output_objective;
  // First-output objective of more urgent generations of the service, for which
  // this one leaves room; none if not set.
  std::optional<milliseconds> urgent_objective;
  // Whether the run continues one that started on another engine.
  bool continues_run = false;
  // Whether the run may crash its target.
  bool is_suspect = false;
  // Whether targets in other failure domains than this instance's are chosen
  // only if there are no others: one of them could not be reached.
  bool avoids_other_domains = false;
  // Failure domain to prefer at a small cost; this instance's if empty.
  domain_id preferred_domain;
};

// No target can accept the request at present.
struct selection_error {
  // Whether the service has a target that could accept the request once it has
  // free capacity.
  bool targets_at_capacity = false;
  // Time after which a target may be available; zero if targets only lack
  // capacity.
  milliseconds retry_after{0};
};

using selection = std::variant<target_id, selection_error>;

// Identifies a run that this instance has on a target.
using run_number = std::uint64_t;

enum class run_end {
  completed,    // The whole response was received.
  failed,       // The target responded with an error.
  rejected,     // The target reported that it did not run the request.
  broken,       // The connection was lost or the response was malformed.
  unreachable,  // No connection could be opened.
  timed_out,
  cancelled,  // Ended by this instance; says nothing about the target's health.
};

// Load that one or more instances have placed on a target.
struct target_load {
  target_id target;
  std::int32_t runs = 0;
  // Expected KV cache use of the runs when they end, in tokens.
  std::int64_t tokens = 0;
  // Prompt tokens of runs that have not produced output yet.
  std::int64_t pending_prefill_tokens = 0;
  // Number of instances whose runs on the target break before their first
  // output.
  std::int32_t failing_instances = 0;
  // Requests that the target refused for want of room in the last second.
  std::int32_t recent_refusals = 0;
  // Number of instances to which the target stated in the last second that it
  // is brittle.
  std::int32_t brittle_instances = 0;

  auto operator<=>(const target_load&) const = default;
};

struct selection_settings {
  domain_id own_domain;
  // Fraction of an engine's memory that the expected size of its runs may fill.
  double memory_fill_limit = 0.9;
  // The same for runs that continue from another engine. It is higher because
  // a refusal would lose all work done for the run, and the engine itself
  // refuses a run that does not fit in its memory.
  double continued_run_fill_limit = 1.1;
  // Fraction of an engine's memory that generations leave free for more urgent
  // ones. A short generation with its prompt takes about a tenth.
  double urgent_reserve = 0.1;
  // The same for backup copies of runs on other engines, which must not use
  // memory that new runs need.
  double backup_fill_limit = 0.4;
  // Fraction of the memory of all engines of a service beyond which no backup
  // copies are made: they would use memory that new and moved runs need.
  double backup_service_fill_limit = 0.5;
  // Whether the costs take into account how fast each engine processes prompts.
  bool weighs_prefill_speeds = true;
};

}  // namespace wist

#endif  // SELECTION_SELECTION_TYPES_H_
