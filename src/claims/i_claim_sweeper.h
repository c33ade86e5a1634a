#ifndef CLAIMS_I_CLAIM_SWEEPER_H_
#define CLAIMS_I_CLAIM_SWEEPER_H_

#include "framework/base/time_types.h"

namespace wist {

// Closes claim buckets whose keys are past the retention time. One user.
class i_claim_sweeper {
 public:
  virtual ~i_claim_sweeper() = default;

  // Closes what has become old since the last call, a bounded number of slices
  // at a time. Throws kv_unavailable; the next call goes on where it stopped.
  virtual void Sweep(calendar_time now, timestamp deadline) = 0;
};

}  // namespace wist

#endif  // CLAIMS_I_CLAIM_SWEEPER_H_
