#ifndef GATEWAY_INTERNAL_I_VERSION_POLICY_H_
#define GATEWAY_INTERNAL_I_VERSION_POLICY_H_

#include <memory>
#include <string>
#include <vector>

#include "directory/directory_types.h"
#include "rollout/version_samples.h"
#include "routing/routing_types.h"
#include "selection/selection_types.h"

namespace wist {

// Decides which versions of a service's software may run a request, and learns
// how they respond.
class i_version_policy {
 public:
  virtual ~i_version_policy() = default;

  // Returns the constraints to try one after another; never empty. They derive
  // from the request's id, so that retries, moves and resumes keep them during
  // one phase of a roll-out. `avoids_new` says that the new version has failed
  // to run this request.
  virtual std::vector<version_constraint> ConstraintsFor(
      const service_id& service,
      const std::string& request_id,
      bool avoids_new) const = 0;

  // Whether runs on the target are to be moved to another version.
  virtual bool IsBeingLeft(const target_entry& target) const = 0;

  virtual void OnResponse(const route_spec& route,
                          const target_entry& target,
                          const response_sample& sample) = 0;

  // Counts a run on the target as open until the returned object is destroyed.
  virtual std::shared_ptr<void> BeginRun(const target_entry& target) = 0;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_I_VERSION_POLICY_H_
