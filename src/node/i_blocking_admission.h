#ifndef NODE_I_BLOCKING_ADMISSION_H_
#define NODE_I_BLOCKING_ADMISSION_H_

#include "admission/admission_types.h"

namespace wist {

// Blocking interface of the admission control: request threads wait here for a
// target. Thread-safe.
class i_blocking_admission {
 public:
  virtual ~i_blocking_admission() = default;

  // Blocks until the request is admitted to a target or shed.
  virtual admission_decision Admit(const admission_request& request) = 0;

  // Returns whether the request may still be sent to its target. To be called
  // immediately before sending, because a permit or the confirmed state of the
  // failure domain may have expired since the request was admitted.
  virtual bool MaySend(const request_admitted& admitted) = 0;

  virtual void OnProgress(request_number request, std::int64_t tokens_out) = 0;
  virtual void OnGenerationEnd(request_number request, generation_end end) = 0;
  virtual void OnTargetFailure(const target_id& target) = 0;
};

}  // namespace wist

#endif  // NODE_I_BLOCKING_ADMISSION_H_
