#ifndef NODE_INTERNAL_REQUEST_LIMITS_H_
#define NODE_INTERNAL_REQUEST_LIMITS_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "cluster/cluster_types.h"
#include "framework/base/i_clock.h"
#include "limits/crash_ledger.h"
#include "limits/limits_module.h"
#include "node/i_request_limits.h"

namespace wist {

// Makes the limits thread-safe and connects them with those of other instances.
class request_limits final : public i_request_limits {
 public:
  explicit request_limits(std::shared_ptr<const i_clock> clock);

  // i_request_limits:
  std::optional<timestamp> TryAcquireRequest(
      const workspace_id& workspace) override;
  void OnFirstAttempt() override;
  bool TryConsumeRetry() override;
  std::optional<generation_quarantine> FindQuarantine(
      const generation_identity& generation) override;
  std::vector<target_id> CrashedTargets(
      const generation_identity& generation) override;
  void AddCrash(const generation_identity& generation,
                const target_id& target) override;
  void OnOutput(const generation_identity& generation) override;
  void OnResponse(const generation_identity& generation) override;

  // Calls `on_crash` for each new crash that this instance adds, without
  // holding the lock. Must be called before the first request.
  void SubscribeToCrashes(std::function<void()> on_crash);

  void ApplyConfiguration(const configuration_body& body);
  void SetInstanceCount(int count);

  // Demand and shares of workspaces are exchanged as tallies and grants whose
  // target name denotes a workspace.
  std::vector<target_tally> DemandTallies();
  void OnGrants(const std::vector<quota_grant>& grants);

  // Crashes and outputs are exchanged with the gossip.
  void AddReports(gossip_message& message);
  void OnReports(const gossip_message& message);

 private:
  request_digest RegisterDigest(const std::string& text);
  void PruneDigests();

  const std::shared_ptr<const i_clock> clock_;
  std::mutex mutex_;
  std::unique_ptr<i_workspace_limiter> limiter_;
  std::unique_ptr<i_retry_budget> retry_budget_;
  crash_ledger crashes_;
  // The texts by which requests of the recorded crashes are gossiped.
  std::map<request_digest, std::string> digest_texts_;
  std::function<void()> on_crash_;
};

// Returns whether the name of a tally denotes a workspace instead of a target.
bool IsWorkspaceTally(const target_id& name);

}  // namespace wist

#endif  // NODE_INTERNAL_REQUEST_LIMITS_H_
