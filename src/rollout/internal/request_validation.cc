#include "rollout/request_validation.h"

#include <fmt/format.h>

#include <algorithm>

namespace wist {
namespace {

std::string Join(const std::set<version_name>& versions) {
  std::string text;
  for (const version_name& version : versions)
    text += (text.empty() ? "" : ", ") + version;
  return text;
}

std::optional<invalid_request> FindContentError(
    const service_id& service,
    const rollout_request& request) {
  if (request.service != service) {
    return invalid_request{rollout_request_error::wrong_service, "service",
                           request.service.text(), service.text()};
  }
  const std::string duration = fmt::format("{}", request.duration_s);
  if (!(request.duration_s > 0)) {
    return invalid_request{rollout_request_error::duration_not_positive,
                           "duration_s", duration, "> 0"};
  }
  if (request.duration_s > kMaxRolloutDurationS) {
    return invalid_request{rollout_request_error::duration_too_long,
                           "duration_s", duration,
                           fmt::format("<= {}", kMaxRolloutDurationS)};
  }
  return std::nullopt;
}

}  // namespace

std::optional<invalid_request> FindRequestError(
    const service_id& service,
    const decoded_rollout_request& request,
    bool is_configured,
    const std::vector<rollout_target>& targets,
    const std::set<version_name>& established) {
  if (const auto* malformed =
          std::get_if<malformed_rollout_request>(&request)) {
    return invalid_request{rollout_request_error::malformed, "request",
                           malformed->error, "a roll-out request in JSON"};
  }
  const auto& content = std::get<rollout_request>(request);
  if (auto error = FindContentError(service, content))
    return error;
  if (!is_configured) {
    return invalid_request{rollout_request_error::unknown_service, "service",
                           service.text(), "a service of the configuration"};
  }
  std::set<version_name> versions;
  for (const rollout_target& target : targets)
    versions.insert(target.version);
  if (!versions.contains(content.target)) {
    return invalid_request{rollout_request_error::no_target_of_version,
                           "target", content.target,
                           "a registered version: " + Join(versions)};
  }
  if (versions.size() == 1 ||
      established == std::set<version_name>{content.target}) {
    return invalid_request{rollout_request_error::only_version, "target",
                           content.target,
                           "a version other than the one in service"};
  }
  if (std::all_of(
          targets.begin(), targets.end(),
          [](const rollout_target& target) { return target.evacuated; })) {
    return invalid_request{rollout_request_error::all_domains_evacuated,
                           "service", service.text(),
                           "a service with targets outside evacuated domains"};
  }
  return std::nullopt;
}

bool MayBecomeValid(rollout_request_error error) {
  switch (error) {
    case rollout_request_error::malformed:
    case rollout_request_error::wrong_service:
    case rollout_request_error::duration_not_positive:
    case rollout_request_error::duration_too_long:
      return false;
    case rollout_request_error::unknown_service:
    case rollout_request_error::no_target_of_version:
    case rollout_request_error::only_version:
    case rollout_request_error::all_domains_evacuated:
      return true;
  }
  return false;
}

}  // namespace wist
