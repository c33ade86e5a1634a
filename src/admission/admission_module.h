#ifndef ADMISSION_ADMISSION_MODULE_H_
#define ADMISSION_ADMISSION_MODULE_H_

#include <cstdint>
#include <memory>

#include "admission/i_admission.h"
#include "admission/i_target_gate.h"

namespace wist {

// Creates the production admission controller, which admits a request only if
// the forecast memory use of a target leaves room for it. `self` and `domain`
// determine the subset of targets that this instance uses.
std::unique_ptr<i_admission> MakeForecastAdmission(
    const admission_settings& settings,
    std::shared_ptr<const i_target_gate> gate,
    const instance_id& self,
    const domain_id& domain);

enum class baseline_policy { round_robin, least_outstanding, two_choices };

// Creates an admission controller without queueing or forecasts. It dispatches
// every request immediately, using only load reports and its own outstanding
// requests. Used as a baseline in benchmarks.
std::unique_ptr<i_admission> MakeBaselineAdmission(
    baseline_policy policy,
    std::shared_ptr<const i_target_gate> gate,
    std::uint64_t seed);

}  // namespace wist

#endif  // ADMISSION_ADMISSION_MODULE_H_
