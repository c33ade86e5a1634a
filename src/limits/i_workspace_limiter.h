#ifndef LIMITS_I_WORKSPACE_LIMITER_H_
#define LIMITS_I_WORKSPACE_LIMITER_H_

#include <optional>
#include <vector>

#include "limits/limits_types.h"

namespace wist {

// Enforces the request rate limits of workspaces across all instances without a
// remote call per request. Not thread-safe.
class i_workspace_limiter {
 public:
  virtual ~i_workspace_limiter() = default;

  virtual void ApplyConfiguration(const configuration_body& body,
                                  timestamp now) = 0;

  // Counts one request of `workspace` against its limit. Returns nothing if the
  // request is allowed, otherwise the time at which the next one will be.
  virtual std::optional<timestamp> Acquire(const workspace_id& workspace,
                                           timestamp now) = 0;

  // Returns and resets the demand since the last call, to be reported to the
  // instance that assigns the shares.
  virtual std::vector<limit_demand> CollectDemands() = 0;
  virtual void SetShare(const limit_share& share) = 0;

  // Sets the number of instances that share the limits equally while this
  // instance holds no valid share.
  virtual void SetInstanceCount(int count) = 0;
};

}  // namespace wist

#endif  // LIMITS_I_WORKSPACE_LIMITER_H_
