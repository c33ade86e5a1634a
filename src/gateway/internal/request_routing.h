#ifndef GATEWAY_INTERNAL_REQUEST_ROUTING_H_
#define GATEWAY_INTERNAL_REQUEST_ROUTING_H_

#include <memory>
#include <optional>
#include <variant>

#include "gateway/internal/gateway_services.h"

namespace wist {

// Estimated time per output token on an engine under high load.
inline constexpr milliseconds kAssumedTimePerToken{12};

// Route of a request under the configuration in effect when it arrived.
struct routed_request {
  // Owns the objects that `match` points to, so that they outlive configuration
  // changes.
  std::shared_ptr<const route_table> table;
  route_match match;
  service_id service;
  std::int32_t priority = 0;
  timestamp deadline;
};

// Returns an error code if the request is refused: it has no route, its key is
// unknown, this instance's configuration is missing or too old, or the instance
// stops before the request could finish.
std::variant<routed_request, error_code> RouteRequest(
    const gateway_services& services,
    const caller_request& request,
    timestamp received_at);

// Returns the expected size of the requested generation; nullopt for plain
// calls.
std::optional<generation_size> ExpectedGenerationSize(
    const caller_request& request);

const char* CallKindName(call_kind kind);

// Identifies the request by its method, path, key, body and shared prompt
// parts, and each of these parts.
run_fingerprint FingerprintOf(const caller_request& request);

// Returns a number in [0, 1) that depends only on the request id and the seed.
double HashToUnitInterval(const std::string& request_id, std::uint64_t seed);

}  // namespace wist

#endif  // GATEWAY_INTERNAL_REQUEST_ROUTING_H_
