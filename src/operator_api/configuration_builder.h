#ifndef OPERATOR_API_CONFIGURATION_BUILDER_H_
#define OPERATOR_API_CONFIGURATION_BUILDER_H_

#include <string>
#include <vector>

#include "configuration/configuration_types.h"

namespace wist {

// Builds a configuration step by step. Does not validate it;
// i_operator_client::Plan does.
class configuration_builder {
 public:
  configuration_builder& AddDomain(const std::string& id,
                                   const std::string& region,
                                   std::int32_t max_entry_instances);
  configuration_builder& AddEngine(const std::string& id,
                                   const std::string& domain,
                                   const std::string& host,
                                   std::uint16_t port,
                                   std::int64_t memory_tokens,
                                   std::int32_t cold_bearable_requests,
                                   bool checks_fencing);
  configuration_builder& AddPlainTarget(const std::string& id,
                                        const std::string& domain,
                                        const std::string& host,
                                        std::uint16_t port);
  configuration_builder& AddWorkspace(const std::string& id,
                                      std::int32_t share_permille,
                                      std::int32_t max_requests_per_minute,
                                      std::int32_t priority);
  configuration_builder& AddGenerationService(const std::string& id,
                                              const std::string& model,
                                              const objective_spec& objective);
  configuration_builder& AddPlainService(const std::string& id,
                                         bool repeatable);

  // Adds a rule that routes requests of a workspace for a service to these
  // targets. Workspace "*" matches every workspace.
  configuration_builder& AddRule(const std::string& workspace,
                                 const std::string& service,
                                 const std::vector<std::string>& targets);

  // Returns the ids of the targets of this kind added so far.
  std::vector<std::string> TargetIdsOfKind(service_kind kind) const;

  const configuration_body& body() const { return body_; }

 private:
  configuration_body body_;
};

// Return a copy of `body` with one state changed. They throw
// std::invalid_argument if `body` has no such domain or target.
configuration_body WithDomainState(configuration_body body,
                                   const domain_id& domain,
                                   domain_state state);
configuration_body WithTargetState(configuration_body body,
                                   const target_id& target,
                                   target_state state);

}  // namespace wist

#endif  // OPERATOR_API_CONFIGURATION_BUILDER_H_
