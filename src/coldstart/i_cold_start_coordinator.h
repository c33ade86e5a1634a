#ifndef COLDSTART_I_COLD_START_COORDINATOR_H_
#define COLDSTART_I_COLD_START_COORDINATOR_H_

#include <vector>

#include "admission/admission_types.h"
#include "coldstart/coldstart_types.h"
#include "store/store_types.h"

namespace wist {

// Issues permits for the pooled limit of cold targets while this instance holds
// the lease of its failure domain. Not thread-safe; callers pass the current
// time.
class i_cold_start_coordinator {
 public:
  virtual ~i_cold_start_coordinator() = default;

  virtual void ApplyConfiguration(const configuration_body& body) = 0;

  // Records an acquired or renewed lease. A greater fencing number starts a new
  // epoch, in which the permits of earlier ones are unknown.
  virtual void OnLease(const kv_lease& lease, timestamp now) = 0;

  virtual void OnReport(const target_id& target,
                        const target_report& report,
                        timestamp now) = 0;

  // Returns a permit for each request, in order. Without a valid lease all
  // counts are 0.
  virtual std::vector<cold_permit> IssuePermits(
      const instance_id& member,
      const std::vector<cold_permit_request>& requests,
      timestamp now) = 0;
};

}  // namespace wist

#endif  // COLDSTART_I_COLD_START_COORDINATOR_H_
