#ifndef NODE_I_REQUEST_LIMITS_H_
#define NODE_I_REQUEST_LIMITS_H_

#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Limits of requests. All instances together enforce the request rates of
// workspaces and the quarantine of requests that crash targets; the retry
// budget is that of this instance. Thread-safe.
class i_request_limits {
 public:
  virtual ~i_request_limits() = default;

  // Consumes one request of the workspace's rate. Returns std::nullopt if the
  // request is allowed, otherwise the time at which the next one is.
  virtual std::optional<timestamp> TryAcquireRequest(
      const workspace_id& workspace) = 0;

  // Every first attempt adds to the retry budget; a retry is only allowed while
  // the budget lasts.
  virtual void OnFirstAttempt() = 0;
  virtual bool TryConsumeRetry() = 0;

  // Crashes of targets are recorded under the digest of the request that they
  // were running. A request that crashed kCrashedTargetsToQuarantine different
  // targets is quarantined.
  virtual std::optional<timestamp> QuarantinedUntil(
      const std::string& request_digest) = 0;
  virtual std::vector<target_id> CrashedTargets(
      const std::string& request_digest) = 0;
  virtual void AddCrash(const std::string& request_digest,
                        const target_id& target) = 0;
};

}  // namespace wist

#endif  // NODE_I_REQUEST_LIMITS_H_
