#ifndef ROUTING_ROUTING_TYPES_H_
#define ROUTING_ROUTING_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Whether a call may be retried. A streaming call is treated as non-idempotent.
enum class call_kind { idempotent, non_idempotent, streaming };

struct weighted_service {
  service_id service;
  std::int32_t weight = 0;

  auto operator<=>(const weighted_service&) const = default;
};

// Binds a host and a path prefix to services.
struct route_spec {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  call_kind kind = call_kind::non_idempotent;
  std::vector<weighted_service> services;
  // Maximum time until the whole response.
  milliseconds timeout{0};
  // Time within which the first byte of the response is due.
  milliseconds first_byte_objective{0};
  // Maximum number of targets on which one request may run.
  std::int32_t max_attempts = 1;
  // Lower values are more urgent.
  std::int32_t priority = 0;
  bool requires_api_key = true;
  // Whether a stream may continue with another run of the request on another
  // target after any of its events, and so may be run more than once.
  bool may_resume_stream = false;

  auto operator<=>(const route_spec&) const = default;
};

// Capacity and capabilities of a service's model engines.
struct engine_spec {
  std::int32_t slots = 0;
  std::int64_t memory_tokens = 0;
  // Whether a run's KV cache can be moved to another engine.
  bool can_move_runs = false;
  // Whether a run's KV cache can be copied to another engine as it grows.
  bool can_back_up_runs = false;
  std::int32_t tokens_per_event = 1;

  auto operator<=>(const engine_spec&) const = default;
};

struct routed_service {
  service_id id;
  // Connections that one target accepts from all instances together.
  std::int32_t max_connections = 0;
  // Maximum requests a second that all instances send to a target while it
  // warms up; 0 for no limit.
  double max_cold_requests_per_second = 0;
  std::optional<engine_spec> engine;

  auto operator<=>(const routed_service&) const = default;
};

// Limits on requests from callers.
struct caller_limits {
  std::int64_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 1'048'576;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15'000};

  auto operator<=>(const caller_limits&) const = default;
};

struct keyed_workspace {
  workspace_id id;
  std::vector<std::string> valid_keys;
  // Overrides the route's priority.
  std::optional<std::int32_t> priority;

  auto operator<=>(const keyed_workspace&) const = default;
};

// One version of the routes, services, workspaces and limits.
struct routing_configuration {
  std::int64_t version = 0;
  std::vector<route_spec> routes;
  std::vector<routed_service> services;
  std::vector<keyed_workspace> workspaces;
  caller_limits limits;

  auto operator<=>(const routing_configuration&) const = default;
};

}  // namespace wist

#endif  // ROUTING_ROUTING_TYPES_H_
