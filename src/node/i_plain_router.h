#ifndef NODE_I_PLAIN_ROUTER_H_
#define NODE_I_PLAIN_ROUTER_H_

#include <optional>
#include <vector>

#include "configuration/configuration_types.h"

namespace wist {

// Chooses targets for calls of plain services. Thread-safe.
class i_plain_router {
 public:
  virtual ~i_plain_router() = default;

  // Returns a target that may take a call now, of the own failure domain if
  // there is one. Targets of `excluded` are left out.
  virtual std::optional<target_spec> Choose(
      const workspace_id& workspace,
      const service_id& service,
      const std::vector<target_id>& excluded) = 0;

  // Whether `target` may be called at this moment.
  virtual bool MaySend(const target_spec& target) = 0;

  virtual void OnFailure(const target_id& target) = 0;
};

}  // namespace wist

#endif  // NODE_I_PLAIN_ROUTER_H_
