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

// What a generation will hold in an engine's memory.
struct generation_size {
  std::int64_t prompt_tokens = 0;
  std::int64_t expected_output_tokens = 0;

  auto operator<=>(const generation_size&) const = default;

  std::int64_t Total() const { return prompt_tokens + expected_output_tokens; }
};

struct selection_request {
  service_id service;
  std::optional<generation_size> size;  // Set for generations.
  // Names what later requests of the same session share; empty for none.
  std::string session;
  std::set<target_id> excluded;
  // Time in which the first output should come; no bound if none is set.
  std::optional<milliseconds> objective;
  // Whether it is a run that an engine is about to lose.
  bool continues_run = false;
  // Failure domain to stay in if it costs little; the own one if empty.
  domain_id preferred_domain;
};

// No target takes the request now.
struct selection_fault {
  // Whether a target of the service exists that is only full at present.
  bool is_full = false;
  // Time after which a target may be there; zero if targets are full only.
  milliseconds retry_after{0};
};

using selection = std::variant<target_id, selection_fault>;

// Names a run that this instance has on a target.
using run_number = std::uint64_t;

enum class run_end {
  answered,     // A whole answer came.
  failed,       // The target answered with an error of its own.
  rejected,     // The target said that it did not run the request.
  broken,       // The channel ended or the answer was unreadable.
  unreachable,  // No channel could be opened.
  timed_out,
  withdrawn,  // Ended from this side; says nothing of the target.
};

// What one instance has running on a target.
struct target_load {
  target_id target;
  std::int32_t runs = 0;
  // Memory that the runs are expected to hold at their end, in tokens.
  std::int64_t tokens = 0;
  // Prompt tokens of runs that have not produced anything yet.
  std::int64_t unread_tokens = 0;
  // Whether it takes channels and breaks what it gets on them.
  bool is_failing = false;

  auto operator<=>(const target_load&) const = default;
};

struct selection_settings {
  domain_id own_domain;
  // A peer's loads count for this long after they were told.
  milliseconds peer_load_validity{3000};
  // Part of an engine's memory that runs may fill by expectation.
  double memory_limit = 0.9;
  // The same for runs that go on from another engine: all that was done for
  // them would be lost, and the engine itself refuses what it has no room for.
  double continued_memory_limit = 1.1;
  // The same for copies of runs on other engines, which must not take the room
  // that new runs need.
  double copy_memory_limit = 0.4;
  // Part of all engines' memory that may be filled while copies are still made:
  // beyond it they would take room from runs that move or begin.
  double copy_service_limit = 0.5;
};

}  // namespace wist

#endif  // SELECTION_SELECTION_TYPES_H_
