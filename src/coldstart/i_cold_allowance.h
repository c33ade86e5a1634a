#ifndef COLDSTART_I_COLD_ALLOWANCE_H_
#define COLDSTART_I_COLD_ALLOWANCE_H_

#include "coldstart/coldstart_types.h"

namespace wist {

// What one instance may run on the cold targets of its failure domain. Not
// thread-safe; reads no clock.
class i_cold_allowance {
 public:
  virtual ~i_cold_allowance() = default;

  virtual void ApplyConfiguration(const configuration_body& body) = 0;

  // Takes the answer to a request that was sent at `asked_at`.
  virtual void OnPermit(const cold_permit& permit, timestamp asked_at) = 0;

  virtual std::int32_t Allowance(const target_id& target,
                                 timestamp now) const = 0;

  // Returns what to ask for when `running` requests run on the target here
  // and `wanted` more would.
  virtual cold_request Ask(const target_id& target,
                           std::int32_t running,
                           std::int32_t wanted) const = 0;
};

}  // namespace wist

#endif  // COLDSTART_I_COLD_ALLOWANCE_H_
