#ifndef ADMISSION_ADMISSION_MODULE_H_
#define ADMISSION_ADMISSION_MODULE_H_

#include <cstdint>
#include <memory>

#include "admission/i_admission.h"
#include "admission/i_target_gate.h"

namespace wist {

// Returns the admission by forecast of memory. `self` and `domain` choose the
// subset of targets that this instance uses.
std::unique_ptr<i_admission> MakeForecastAdmission(
    const admission_settings& settings,
    std::shared_ptr<const i_target_gate> gate,
    const instance_id& self,
    const domain_id& domain);

enum class baseline_policy { round_robin, least_outstanding, two_choices };

// Returns an admission that sends each request at once by a plain policy on
// the reports and its own outstanding requests. For comparison only.
std::unique_ptr<i_admission> MakeBaselineAdmission(
    baseline_policy policy,
    std::shared_ptr<const i_target_gate> gate,
    std::uint64_t seed);

}  // namespace wist

#endif  // ADMISSION_ADMISSION_MODULE_H_
