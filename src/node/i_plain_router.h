#ifndef NODE_I_PLAIN_ROUTER_H_
#define NODE_I_PLAIN_ROUTER_H_

#include <optional>
#include <vector>

#include "configuration/configuration_types.h"

namespace wist {

// Selects targets for calls of plain services. Thread-safe.
class i_plain_router {
 public:
  virtual ~i_plain_router() = default;

  // Returns a target that may be called now, excluding those in `excluded`.
  // Targets in the failure domain of this instance are preferred. Returns
  // std::nullopt if no target may be called.
  virtual std::optional<target_spec> Choose(
      const workspace_id& workspace,
      const service_id& service,
      const std::vector<target_id>& excluded) = 0;

  // Returns whether `target` may be called now.
  virtual bool MaySend(const target_spec& target) = 0;

  // Excludes `target` for a short time after a failed call.
  virtual void OnFailure(const target_id& target) = 0;
};

}  // namespace wist

#endif  // NODE_I_PLAIN_ROUTER_H_
