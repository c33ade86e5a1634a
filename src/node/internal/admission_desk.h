#ifndef NODE_INTERNAL_ADMISSION_DESK_H_
#define NODE_INTERNAL_ADMISSION_DESK_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "admission/i_admission.h"
#include "framework/base/i_clock.h"
#include "node/i_admission_desk.h"
#include "node/internal/cluster_desk.h"

namespace wist {

// Requests running on a cold target, as the steward is asked about them.
struct cold_load {
  target_id target;
  std::int32_t running = 0;
  std::int32_t wanted = 0;
};

// The admission behind a lock, with threads waiting for its decisions.
class admission_desk final : public i_admission_desk {
 public:
  admission_desk(const node_settings& settings,
                 std::shared_ptr<const i_clock> clock,
                 std::shared_ptr<cluster_desk> cluster);

  // i_admission_desk:
  admission_event Admit(const admission_request& request) override;
  bool MaySend(const request_admitted& admitted) override;
  void OnProgress(request_number request, std::int64_t tokens_out) override;
  void OnEnd(request_number request, generation_end end) override;
  void OnTargetFailure(const target_id& target) override;

  void ApplyConfiguration(const configuration_body& body);
  void OnReport(const target_id& target, const target_report& report);
  void SetInstanceCount(int count);
  std::vector<target_spec> UsedTargets() const;
  std::vector<target_tally> Tallies();
  void OnGrants(const std::vector<quota_grant>& grants);

  // Takes decisions that time alone made possible.
  void Pump();

  // Returns the cold targets and what runs and waits for them here.
  std::vector<cold_load> ColdLoads() const;

 private:
  void PumpLocked();

  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<cluster_desk> cluster_;
  mutable std::mutex mutex_;
  std::condition_variable decided_;
  std::unique_ptr<i_admission> admission_;
  std::map<request_number, admission_event> decisions_;
  std::map<target_id, target_spec> targets_;
  std::map<target_id, bool> reported_cold_;
  std::map<request_number, target_id> running_;
  std::int32_t waiting_ = 0;
};

}  // namespace wist

#endif  // NODE_INTERNAL_ADMISSION_DESK_H_
