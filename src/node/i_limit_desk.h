#ifndef NODE_I_LIMIT_DESK_H_
#define NODE_I_LIMIT_DESK_H_

#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Limits that all instances hold together. Thread-safe.
class i_limit_desk {
 public:
  virtual ~i_limit_desk() = default;

  // Returns nothing if a request of the workspace may go on, else when the
  // next one may.
  virtual std::optional<timestamp> TakeRequest(
      const workspace_id& workspace) = 0;

  virtual void OnFirstTry() = 0;
  virtual bool TryRetry() = 0;

  virtual std::optional<timestamp> QuarantinedUntil(
      const std::string& request_digest) = 0;
  virtual std::vector<target_id> StruckTargets(
      const std::string& request_digest) = 0;
  virtual void AddStrike(const std::string& request_digest,
                         const target_id& target) = 0;
};

}  // namespace wist

#endif  // NODE_I_LIMIT_DESK_H_
