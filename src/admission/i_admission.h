#ifndef ADMISSION_I_ADMISSION_H_
#define ADMISSION_I_ADMISSION_H_

#include <vector>

#include "admission/admission_types.h"
#include "quota/quota_types.h"

namespace wist {

// Assigns queued generations to targets and sheds those that cannot start in
// time. Not thread-safe; callers pass the current time.
class i_admission {
 public:
  virtual ~i_admission() = default;

  virtual void ApplyConfiguration(const configuration_body& body,
                                  timestamp now) = 0;

  // Queues a request. The decision is returned by a later ProcessQueue.
  virtual request_number Submit(const admission_request& request,
                                timestamp now) = 0;

  // Returns the decisions on queued requests that can be made now.
  virtual std::vector<admission_decision> ProcessQueue(timestamp now) = 0;

  // Removes a request that is still queued. Admitted ones are not affected.
  virtual void CancelQueued(request_number request) = 0;

  // Records that an admitted request has received `tokens_out` tokens so far.
  virtual void OnProgress(request_number request,
                          std::int64_t tokens_out,
                          timestamp now) = 0;
  virtual void OnGenerationEnd(request_number request,
                               generation_end end,
                               timestamp now) = 0;

  virtual void OnReport(const target_id& target,
                        const target_report& report,
                        timestamp now) = 0;

  // Records that the target refused or broke a connection. No requests are
  // sent to it until it sends a report that was taken after the failure.
  virtual void OnTargetFailure(const target_id& target, timestamp now) = 0;

  // Returns the targets that this instance uses under the current rules.
  virtual std::vector<target_id> UsedTargets() const = 0;

  // Returns this instance's load on each target for the owners of the targets'
  // quotas, which respond with grants, and starts a new interval for each
  // target.
  virtual std::vector<target_tally> CollectTallies(timestamp now) = 0;
  virtual void OnGrant(const quota_grant& grant) = 0;

  // Sets how many instances share the targets. Used to estimate the load of the
  // other instances while no grant is valid.
  virtual void SetInstanceCount(int count) = 0;
};

}  // namespace wist

#endif  // ADMISSION_I_ADMISSION_H_
