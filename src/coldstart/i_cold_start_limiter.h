#ifndef COLDSTART_I_COLD_START_LIMITER_H_
#define COLDSTART_I_COLD_START_LIMITER_H_

#include "coldstart/coldstart_types.h"

namespace wist {

// Limits the requests that one instance runs on the cold targets of its failure
// domain. Not thread-safe; callers pass the current time.
class i_cold_start_limiter {
 public:
  virtual ~i_cold_start_limiter() = default;

  virtual void ApplyConfiguration(const configuration_body& body) = 0;

  // Stores a permit that was returned for a permit request sent at
  // `requested_at`.
  virtual void OnPermit(const cold_permit& permit, timestamp requested_at) = 0;

  // Returns how many requests this instance may have running on `target` while
  // the target is cold.
  virtual std::int32_t RequestLimit(const target_id& target,
                                    timestamp now) const = 0;

  // Returns the permit request to send when this instance has `running`
  // requests on the target and would send `wanted` more.
  virtual cold_permit_request BuildPermitRequest(const target_id& target,
                                                 std::int32_t running,
                                                 std::int32_t wanted) const = 0;
};

}  // namespace wist

#endif  // COLDSTART_I_COLD_START_LIMITER_H_
