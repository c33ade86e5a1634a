#include "gateway/internal/request_routing.h"

#include <algorithm>

#include "framework/base/hashing.h"

namespace wist {
namespace {

// Covers the resolution of timers and clocks. The validity of a key is defined
// by the time at which the caller sent the request, which is before this check.
constexpr milliseconds kKeyValidityMargin{100};

// Makes the choice of a service independent of other values hashed from the
// request id.
constexpr std::uint64_t kServiceSeed = 1;

// Makes the digests of prompt parts independent of those of requests.
constexpr std::uint64_t kPromptPartSeed = 3;

error_code ToErrorCode(route_error error) {
  return error == route_error::no_route ? error_code::no_route
                                        : error_code::unknown_key;
}

// A request that this instance's stop would interrupt is refused, so that
// another instance can serve it completely.
bool CanFinishBeforeStop(const gateway_services& services,
                         const caller_request& request,
                         const route_spec& route,
                         timestamp received_at) {
  if (!services.stop_deadline)
    return true;
  if (received_at >= *services.accept_deadline)
    return false;
  if (route.kind != call_kind::streaming)
    return true;
  const auto size = ExpectedGenerationSize(request);
  if (!size)
    return false;
  return received_at + kAssumedTimePerToken * size->expected_output_tokens +
             route.first_byte_objective <
         *services.stop_deadline;
}

}  // namespace

std::variant<routed_request, error_code> RouteRequest(
    const gateway_services& services,
    const caller_request& request,
    timestamp received_at) {
  routed_request routed;
  routed.table = services.latest_configuration.table();
  if (!routed.table)
    return error_code::not_ready;
  const auto matched =
      routed.table->Match(request.host, request.message.target, request.key);
  const bool fresh = services.latest_configuration.IsFresh(
      received_at, services.settings.key_validity - kKeyValidityMargin);
  if (const auto* error = std::get_if<route_error>(&matched)) {
    // A newer configuration may contain the route or key that this one lacks.
    return fresh ? ToErrorCode(*error) : error_code::not_ready;
  }
  routed.match = std::get<route_match>(matched);
  if (routed.match.workspace && !fresh)
    return error_code::not_ready;
  const route_spec& route = *routed.match.route;
  if (!CanFinishBeforeStop(services, request, route, received_at))
    return error_code::stopping;
  const keyed_workspace* workspace = routed.match.workspace;
  routed.priority =
      workspace && workspace->priority ? *workspace->priority : route.priority;
  routed.service =
      PickService(route, HashToUnitInterval(request.id, kServiceSeed));
  routed.deadline =
      received_at + (request.time_left
                         ? std::min(route.timeout, *request.time_left)
                         : route.timeout);
  return routed;
}

std::optional<generation_size> ExpectedGenerationSize(
    const caller_request& request) {
  if (!request.generation)
    return std::nullopt;
  const generation_parameters& generation = *request.generation;
  // Half of the maximum is the default estimate.
  const std::int64_t output =
      std::min(generation.estimated_output_tokens.value_or(
                   generation.max_output_tokens / 2),
               generation.max_output_tokens);
  return generation_size{generation.prompt_tokens, output};
}

const char* CallKindName(call_kind kind) {
  switch (kind) {
    case call_kind::idempotent:
      return "idempotent";
    case call_kind::non_idempotent:
      return "non_idempotent";
    case call_kind::streaming:
      return "streaming";
  }
  return "unknown";
}

run_fingerprint FingerprintOf(const caller_request& request) {
  run_fingerprint fingerprint;
  fingerprint.request = StableHash(request.message.method);
  for (const std::string* text :
       {&request.message.target, &request.key, &request.message.body})
    fingerprint.request = StableHash(*text, fingerprint.request);
  for (const std::string& part : request.shared_prompt_parts) {
    fingerprint.request = StableHash(part, fingerprint.request);
    fingerprint.prompt_parts.push_back(StableHash(part, kPromptPartSeed));
  }
  return fingerprint;
}

double HashToUnitInterval(const std::string& request_id, std::uint64_t seed) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(StableHash(request_id, seed)) / kRange;
}

}  // namespace wist
