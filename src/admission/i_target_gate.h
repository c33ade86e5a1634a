#ifndef ADMISSION_I_TARGET_GATE_H_
#define ADMISSION_I_TARGET_GATE_H_

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Decides whether new requests may be sent to a target.
class i_target_gate {
 public:
  virtual ~i_target_gate() = default;

  // Returns whether `target` is not leaving and its failure domain is known to
  // be in the state `in`.
  virtual bool MayDispatch(const target_spec& target, timestamp now) const = 0;

  // Returns how many requests this instance may have running on `target` while
  // the target is cold.
  virtual std::int32_t ColdRequestLimit(const target_spec& target,
                                        timestamp now) const = 0;
};

}  // namespace wist

#endif  // ADMISSION_I_TARGET_GATE_H_
