#ifndef ADMISSION_I_TARGET_GATE_H_
#define ADMISSION_I_TARGET_GATE_H_

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Says whether new work may go to a target at this moment.
class i_target_gate {
 public:
  virtual ~i_target_gate() = default;

  // Whether `target`'s failure domain is known to be in and it is not leaving.
  virtual bool MayDispatch(const target_spec& target, timestamp now) const = 0;

  // How many requests this instance may have running on `target` while cold.
  virtual std::int32_t ColdAllowance(const target_spec& target,
                                     timestamp now) const = 0;
};

}  // namespace wist

#endif  // ADMISSION_I_TARGET_GATE_H_
