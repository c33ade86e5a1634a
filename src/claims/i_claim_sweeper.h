#ifndef CLAIMS_I_CLAIM_SWEEPER_H_
#define CLAIMS_I_CLAIM_SWEEPER_H_

#include "framework/base/time_types.h"

namespace wist {

// Closes claim buckets whose keys are older than kClaimRetention. Not
// thread-safe.
class i_claim_sweeper {
 public:
  virtual ~i_claim_sweeper() = default;

  // Closes the buckets that have expired since the last call, for a limited
  // number of time slices per call. Throws kv_unavailable if the store fails;
  // the next call then resumes at the slice that failed.
  virtual void Sweep(calendar_time now, timestamp deadline) = 0;
};

}  // namespace wist

#endif  // CLAIMS_I_CLAIM_SWEEPER_H_
