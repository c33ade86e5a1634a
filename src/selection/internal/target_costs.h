#ifndef SELECTION_INTERNAL_TARGET_COSTS_H_
#define SELECTION_INTERNAL_TARGET_COSTS_H_

#include <optional>

#include "directory/directory_types.h"
#include "routing/routing_types.h"
#include "selection/prefill_estimator.h"
#include "selection/selection_types.h"
#include "selection/target_health.h"

namespace wist {

// What is known about a target when a request may be placed on it.
struct target_candidate {
  const known_target& target;
  // From all instances.
  target_load load;
  // Null if no run has ended on it yet.
  const target_health* health = nullptr;
  // Time that the engine takes for a prompt relative to the service's average.
  double relative_prefill_time = 1;
  // Whether the request's session was served there last.
  bool served_session = false;
  // Whether no other target of its domain accepts work of the service.
  bool is_last_of_domain = false;
};

struct placement_context {
  const selection_settings& settings;
  // Null if no engine of the service has produced output yet.
  const prefill_estimator* estimator = nullptr;
  timestamp now;
};

// Whether an engine has room for a generation and can begin it in time.
bool CanTakeGeneration(const target_candidate& candidate,
                       const engine_spec& engine,
                       const selection_request& request,
                       const placement_context& context);

// Cost of placing a generation on an engine that can take it.
double EngineCost(const target_candidate& candidate,
                  const engine_spec& engine,
                  const selection_request& request,
                  const placement_context& context);

// By how much the cost rises with each generation like `request`.
double EngineCostPerRun(const target_candidate& candidate,
                        const engine_spec& engine,
                        const selection_request& request);

// Cost of placing a generation that may crash the engine on it: what would be
// lost.
double SuspectCost(const target_candidate& candidate,
                   const placement_context& context);

// Cost of placing a plain call on a target.
double PlainCost(const target_candidate& candidate,
                 const placement_context& context);

// By how much the cost rises with each plain call.
double PlainCostPerRun(const target_candidate& candidate,
                       const placement_context& context);

}  // namespace wist

#endif  // SELECTION_INTERNAL_TARGET_COSTS_H_
