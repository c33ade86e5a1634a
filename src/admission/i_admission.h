#ifndef ADMISSION_I_ADMISSION_H_
#define ADMISSION_I_ADMISSION_H_

#include <vector>

#include "admission/admission_types.h"
#include "quota/quota_types.h"

namespace wist {

// Decides which waiting generation goes to which target, and which is refused.
// Not thread-safe; reads no clock.
class i_admission {
 public:
  virtual ~i_admission() = default;

  virtual void ApplyConfiguration(const configuration_body& body,
                                  timestamp now) = 0;

  // Queues a request; Pump decides on it.
  virtual request_number Submit(const admission_request& request,
                                timestamp now) = 0;

  // Returns the decisions that can be taken now.
  virtual std::vector<admission_event> Pump(timestamp now) = 0;

  // Drops a request that is still queued.
  virtual void Withdraw(request_number request) = 0;

  // Tells of an admitted request: `tokens_out` tokens came so far.
  virtual void OnProgress(request_number request,
                          std::int64_t tokens_out,
                          timestamp now) = 0;
  virtual void OnEnd(request_number request,
                     generation_end end,
                     timestamp now) = 0;

  virtual void OnReport(const target_id& target,
                        const target_report& report,
                        timestamp now) = 0;

  // The target refused or broke a connection: nothing goes there until its
  // next report.
  virtual void OnTargetFailure(const target_id& target, timestamp now) = 0;

  // Returns the targets that some rule leads to from here.
  virtual std::vector<target_id> UsedTargets() const = 0;

  // Exchanges work with the other instances.
  virtual std::vector<target_tally> Tallies(timestamp now) = 0;
  virtual void OnGrant(const quota_grant& grant) = 0;

  // How many instances share the targets, for when no grant is held.
  virtual void SetInstanceCount(int count) = 0;
};

}  // namespace wist

#endif  // ADMISSION_I_ADMISSION_H_
