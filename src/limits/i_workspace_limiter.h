#ifndef LIMITS_I_WORKSPACE_LIMITER_H_
#define LIMITS_I_WORKSPACE_LIMITER_H_

#include <optional>
#include <vector>

#include "limits/limits_types.h"

namespace wist {

// Holds workspaces to their request rates over all instances without a call a
// request. Not thread-safe.
class i_workspace_limiter {
 public:
  virtual ~i_workspace_limiter() = default;

  virtual void ApplyConfiguration(const configuration_body& body,
                                  timestamp now) = 0;

  // Takes one request of `workspace`. Returns nothing if it may go on, else
  // the time at which the next one may.
  virtual std::optional<timestamp> Take(const workspace_id& workspace,
                                        timestamp now) = 0;

  // Returns the demand since the last call, to be told to the share's owner.
  virtual std::vector<limit_demand> Demands() = 0;
  virtual void OnShare(const limit_share& share) = 0;

  // How many instances share the limits, for when no share is held.
  virtual void SetInstanceCount(int count) = 0;
};

}  // namespace wist

#endif  // LIMITS_I_WORKSPACE_LIMITER_H_
