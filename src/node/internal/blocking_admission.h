#ifndef NODE_INTERNAL_BLOCKING_ADMISSION_H_
#define NODE_INTERNAL_BLOCKING_ADMISSION_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "admission/i_admission.h"
#include "framework/base/i_clock.h"
#include "node/i_blocking_admission.h"
#include "node/internal/cluster_state.h"

namespace wist {

// Number of requests of this instance that run on a cold target or wait for
// one. It is the basis of requests for cold permits.
struct cold_load {
  target_id target;
  std::int32_t running = 0;
  std::int32_t waiting = 0;
};

// Makes i_admission thread-safe and blocks request threads until it has decided
// on their requests.
class blocking_admission final : public i_blocking_admission {
 public:
  blocking_admission(const node_settings& settings,
                     std::shared_ptr<const i_clock> clock,
                     std::shared_ptr<cluster_state> cluster);

  // i_blocking_admission:
  admission_decision Admit(const admission_request& request) override;
  bool MaySend(const request_admitted& admitted) override;
  void OnProgress(request_number request, std::int64_t tokens_out) override;
  void OnGenerationEnd(request_number request, generation_end end) override;
  void OnTargetFailure(const target_id& target) override;

  void ApplyConfiguration(const configuration_body& body);
  void OnReport(const target_id& target, const target_report& report);
  void SetInstanceCount(int count);
  std::vector<target_spec> UsedTargets() const;
  std::vector<target_tally> CollectTallies();
  void OnGrants(const std::vector<quota_grant>& grants);

  // Makes the decisions that have become possible by the passage of time.
  void ProcessQueue();

  // Returns the load of all cold targets. The waiting count of each includes
  // all requests that wait on this instance.
  std::vector<cold_load> ColdLoads() const;

 private:
  // Requires `mutex_` to be held.
  void ProcessQueueLocked();

  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<cluster_state> cluster_;
  mutable std::mutex mutex_;
  std::condition_variable decision_available_;
  std::unique_ptr<i_admission> admission_;
  std::map<request_number, admission_decision> decisions_;
  std::map<target_id, target_spec> targets_;
  std::map<target_id, bool> reported_cold_;
  std::map<request_number, target_id> running_;
  std::int32_t waiting_ = 0;
};

}  // namespace wist

#endif  // NODE_INTERNAL_BLOCKING_ADMISSION_H_
