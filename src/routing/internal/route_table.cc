#include "routing/route_table.h"

#include <Poco/String.h>

#include <algorithm>

namespace wist {
namespace {

std::string NormalizeHost(std::string_view host) {
  const std::size_t port = host.find(':');
  return Poco::toLower(std::string(host.substr(0, port)));
}

}  // namespace

route_table::route_table(routing_configuration configuration)
    : configuration_(std::move(configuration)) {
  for (const route_spec& route : configuration_.routes)
    routes_by_host_[NormalizeHost(route.host)][route.path_prefix] = &route;
  for (const route_spec& route : configuration_.routes) {
    if (route.kind != call_kind::streaming)
      continue;
    for (const weighted_service& weighted : route.services) {
      const auto [objective, added] =
          stream_objectives_[weighted.service].try_emplace(
              route.priority, route.first_byte_objective);
      objective->second =
          std::min(objective->second, route.first_byte_objective);
    }
  }
  for (const keyed_workspace& workspace : configuration_.workspaces) {
    for (const std::string& key : workspace.valid_keys)
      workspaces_by_key_[key] = &workspace;
  }
  for (const routed_service& service : configuration_.services)
    services_[service.id] = &service;
}

std::variant<route_match, route_error> route_table::Match(
    std::string_view host,
    std::string_view path,
    std::string_view key) const {
  const route_spec* route = FindRoute(host, path);
  if (!route)
    return route_error::no_route;
  if (!route->requires_api_key || configuration_.workspaces.empty())
    return route_match{route, nullptr};
  const auto found = workspaces_by_key_.find(std::string(key));
  if (found == workspaces_by_key_.end())
    return route_error::unknown_key;
  return route_match{route, found->second};
}

const route_spec* route_table::FindRoute(std::string_view host,
                                         std::string_view path) const {
  const auto routes = routes_by_host_.find(NormalizeHost(host));
  if (routes == routes_by_host_.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  // Prefixes end with a slash, so only the text up to a slash can match.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/', slash - 1)) {
    const auto found =
        routes->second.find(std::string(path.substr(0, slash + 1)));
    if (found != routes->second.end())
      return found->second;
    if (slash == 0)
      break;
  }
  return nullptr;
}

const routed_service* route_table::FindService(const service_id& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second;
}

std::optional<milliseconds> route_table::UrgentObjective(
    const service_id& service,
    const route_spec& route) const {
  const auto objectives = stream_objectives_.find(service);
  if (objectives == stream_objectives_.end())
    return std::nullopt;
  std::optional<milliseconds> shortest;
  for (const auto& [priority, objective] : objectives->second) {
    if (priority >= route.priority)
      break;
    if (objective < shortest.value_or(route.first_byte_objective))
      shortest = objective;
  }
  return shortest;
}

const service_id& PickService(const route_spec& route, double point) {
  std::int64_t total = 0;
  for (const weighted_service& weighted : route.services)
    total += weighted.weight;
  double remaining = point * static_cast<double>(total);
  for (const weighted_service& weighted : route.services) {
    remaining -= weighted.weight;
    if (remaining < 0)
      return weighted.service;
  }
  return route.services.back().service;
}

}  // namespace wist
