#ifndef COLDSTART_I_COLD_STEWARD_H_
#define COLDSTART_I_COLD_STEWARD_H_

#include <vector>

#include "admission/admission_types.h"
#include "coldstart/coldstart_types.h"
#include "store/store_types.h"

namespace wist {

// Hands out the pooled part of cold targets while it holds the domain's lease.
// Not thread-safe; reads no clock.
class i_cold_steward {
 public:
  virtual ~i_cold_steward() = default;

  virtual void ApplyConfiguration(const configuration_body& body) = 0;

  // Takes the lease, new or renewed. A new fencing number starts a new epoch.
  virtual void OnLease(const kv_lease& lease, timestamp now) = 0;

  virtual void OnReport(const target_id& target,
                        const target_report& report,
                        timestamp now) = 0;

  // Returns a permit for each request; counts of 0 without a live lease.
  virtual std::vector<cold_permit> Exchange(
      const instance_id& member,
      const std::vector<cold_request>& requests,
      timestamp now) = 0;
};

}  // namespace wist

#endif  // COLDSTART_I_COLD_STEWARD_H_
