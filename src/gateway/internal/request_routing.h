#ifndef GATEWAY_INTERNAL_REQUEST_ROUTING_H_
#define GATEWAY_INTERNAL_REQUEST_ROUTING_H_

#include <memory>
#include <optional>
#include <variant>

#include "gateway/internal/gateway_services.h"

namespace wist {

// Time that a token of a generation takes on a well filled engine.
inline constexpr milliseconds kAssumedTokenTime{12};

// Where a request goes, by the configuration in force at its arrival.
struct routed_request {
  // Keeps `match` valid across changes of the configuration.
  std::shared_ptr<const route_table> table;
  route_match match;
  service_id service;
  std::int32_t priority = 0;
  timestamp deadline;
};

// Returns why the request is refused if it has no route, its key is unknown, or
// this instance does not know enough, or has not enough time left, to serve it.
std::variant<routed_request, error_code> RouteRequest(
    const gateway_services& services,
    const caller_request& request,
    timestamp received_at);

// What the generation that is asked for will hold; nothing for plain calls.
std::optional<generation_size> ExpectedSize(const caller_request& request);

const char* CallKindName(call_kind kind);

// Equal for requests of the same method, path, caller and body.
request_digest DigestOf(const caller_request& request);

// Returns a number in [0, 1) that depends on the request and the seed only.
double PointOf(const std::string& request_id, std::uint64_t seed);

}  // namespace wist

#endif  // GATEWAY_INTERNAL_REQUEST_ROUTING_H_
