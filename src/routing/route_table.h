#ifndef ROUTING_ROUTE_TABLE_H_
#define ROUTING_ROUTE_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "routing/routing_types.h"

namespace wist {

enum class route_error { no_route, unknown_key };

// The route of a request and the workspace on whose behalf it runs.
struct route_match {
  const route_spec* route = nullptr;
  const keyed_workspace* workspace = nullptr;  // Null if no key is required.
};

// Matches requests to the routes of one configuration. Immutable; the returned
// matches point into it.
class route_table {
 public:
  explicit route_table(routing_configuration configuration);

  route_table(const route_table&) = delete;
  route_table& operator=(const route_table&) = delete;

  const routing_configuration& configuration() const { return configuration_; }

  // `path` may include a query. Returns the route of the host with the longest
  // matching path prefix.
  std::variant<route_match, route_error> Match(std::string_view host,
                                               std::string_view path,
                                               std::string_view key) const;

  // Returns null if there is no such service.
  const routed_service* FindService(const service_id& id) const;

  // Returns the shortest first-byte objective of the streaming routes that
  // share `service` with `route`, are more urgent and have a shorter objective;
  // nullopt if there are none.
  std::optional<milliseconds> UrgentObjective(const service_id& service,
                                              const route_spec& route) const;

 private:
  const route_spec* FindRoute(std::string_view host,
                              std::string_view path) const;

  const routing_configuration configuration_;
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const route_spec*>>
      routes_by_host_;
  std::unordered_map<std::string, const keyed_workspace*> workspaces_by_key_;
  std::unordered_map<service_id, const routed_service*> services_;
  // Shortest objective of each service's streaming routes, by priority.
  std::unordered_map<service_id, std::map<std::int32_t, milliseconds>>
      stream_objectives_;
};

// Selects one of the route's services in proportion to the weights. `point`, in
// [0, 1), is the position on the cumulative weights.
const service_id& PickService(const route_spec& route, double point);

}  // namespace wist

#endif  // ROUTING_ROUTE_TABLE_H_
