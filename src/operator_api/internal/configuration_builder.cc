#include "operator_api/configuration_builder.h"

#include <stdexcept>

namespace wist {

configuration_builder& configuration_builder::AddDomain(
    const std::string& id,
    const std::string& region,
    std::int32_t max_entry_instances) {
  body_.domains.push_back(
      {domain_id(id), region, domain_state::in, max_entry_instances});
  return *this;
}

configuration_builder& configuration_builder::AddEngine(
    const std::string& id,
    const std::string& domain,
    const std::string& host,
    std::uint16_t port,
    std::int64_t memory_tokens,
    std::int32_t cold_bearable_requests,
    bool checks_fencing) {
  target_spec target;
  target.id = target_id(id);
  target.domain = domain_id(domain);
  target.kind = service_kind::generation;
  target.host = host;
  target.port = port;
  target.memory_tokens = memory_tokens;
  target.cold_bearable_requests = cold_bearable_requests;
  target.checks_fencing = checks_fencing;
  body_.targets.push_back(target);
  return *this;
}

configuration_builder& configuration_builder::AddPlainTarget(
    const std::string& id,
    const std::string& domain,
    const std::string& host,
    std::uint16_t port) {
  target_spec target;
  target.id = target_id(id);
  target.domain = domain_id(domain);
  target.kind = service_kind::plain;
  target.host = host;
  target.port = port;
  body_.targets.push_back(target);
  return *this;
}

configuration_builder& configuration_builder::AddWorkspace(
    const std::string& id,
    std::int32_t share_permille,
    std::int32_t max_requests_per_minute,
    std::int32_t priority) {
  body_.workspaces.push_back(
      {workspace_id(id), share_permille, max_requests_per_minute, priority});
  return *this;
}

configuration_builder& configuration_builder::AddGenerationService(
    const std::string& id,
    const std::string& model,
    const objective_spec& objective) {
  body_.services.push_back({service_id(id), service_kind::generation, model,
                            /*repeatable=*/true, objective});
  return *this;
}

configuration_builder& configuration_builder::AddPlainService(
    const std::string& id,
    bool repeatable) {
  body_.services.push_back(
      {service_id(id), service_kind::plain, "", repeatable, {}});
  return *this;
}

configuration_builder& configuration_builder::AddRule(
    const std::string& workspace,
    const std::string& service,
    const std::vector<std::string>& targets) {
  rule_spec rule{workspace_id(workspace), service_id(service), {}};
  for (const std::string& target : targets)
    rule.targets.emplace_back(target);
  body_.rules.push_back(rule);
  return *this;
}

std::vector<std::string> configuration_builder::TargetIdsOfKind(
    service_kind kind) const {
  std::vector<std::string> ids;
  for (const target_spec& target : body_.targets) {
    if (target.kind == kind)
      ids.push_back(target.id.text());
  }
  return ids;
}

configuration_body WithDomainState(configuration_body body,
                                   const domain_id& domain,
                                   domain_state state) {
  for (domain_spec& spec : body.domains) {
    if (spec.id != domain)
      continue;
    spec.state = state;
    return body;
  }
  throw std::invalid_argument("unknown failure domain '" + domain.text() + "'");
}

configuration_body WithTargetState(configuration_body body,
                                   const target_id& target,
                                   target_state state) {
  for (target_spec& spec : body.targets) {
    if (spec.id != target)
      continue;
    spec.state = state;
    return body;
  }
  throw std::invalid_argument("unknown target '" + target.text() + "'");
}

}  // namespace wist
