#ifndef NODE_I_REQUEST_LIMITS_H_
#define NODE_I_REQUEST_LIMITS_H_

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// What a generation may crash its target with.
struct generation_identity {
  // Hash of the request; equal for repeated requests.
  std::string request_digest;
  // Hash of the beginning of the prompt, which other requests may share; empty
  // if the prompt is shorter.
  std::string prompt_prefix;

  auto operator<=>(const generation_identity&) const = default;
};

// Why and until when a request is refused.
struct generation_quarantine {
  timestamp deadline;
  // Whether it is this request that crashed targets, not only others with the
  // same prompt prefix.
  bool covers_request = false;

  auto operator<=>(const generation_quarantine&) const = default;
};

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

  // Crashes of targets are recorded under the request that they were running
  // and under its prompt prefix. A request or a prefix that crashed
  // kCrashedTargetsToQuarantine different targets is quarantined.
  virtual std::optional<generation_quarantine> FindQuarantine(
      const generation_identity& generation) = 0;
  virtual std::vector<target_id> CrashedTargets(
      const generation_identity& generation) = 0;
  virtual void AddCrash(const generation_identity& generation,
                        const target_id& target) = 0;

  // The target has produced output for long enough to show that the prompt
  // prefix does not crash it, or the whole response.
  virtual void OnOutput(const generation_identity& generation) = 0;
  virtual void OnResponse(const generation_identity& generation) = 0;
};

}  // namespace wist

#endif  // NODE_I_REQUEST_LIMITS_H_
