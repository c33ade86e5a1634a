#ifndef OPERATOR_API_CONFIGURATION_BUILDER_H_
#define OPERATOR_API_CONFIGURATION_BUILDER_H_

#include <string>
#include <vector>

#include "configuration/configuration_types.h"

namespace wist {

// Builds a configuration step by step. Faults are found by Plan.
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

  // Binds a service to targets for a workspace, "*" for any.
  configuration_builder& Bind(const std::string& workspace,
                              const std::string& service,
                              const std::vector<std::string>& targets);

  // Returns the ids of all targets of a kind added so far.
  std::vector<std::string> TargetsOf(service_kind kind) const;

  const configuration_body& body() const { return body_; }

 private:
  configuration_body body_;
};

// Return `body` with one state changed; throw std::invalid_argument for a
// name that is not in it.
configuration_body WithDomainState(configuration_body body,
                                   const domain_id& domain,
                                   domain_state state);
configuration_body WithTargetState(configuration_body body,
                                   const target_id& target,
                                   target_state state);

}  // namespace wist

#endif  // OPERATOR_API_CONFIGURATION_BUILDER_H_
