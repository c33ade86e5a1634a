#ifndef COLDSTART_COLDSTART_MODULE_H_
#define COLDSTART_COLDSTART_MODULE_H_

#include <memory>

#include "coldstart/i_cold_start_coordinator.h"
#include "coldstart/i_cold_start_limiter.h"

namespace wist {

std::unique_ptr<i_cold_start_coordinator> MakeColdStartCoordinator(
    const cold_start_settings& settings);

// `domain` is the failure domain of this instance, `started_at` the start time
// of this process.
std::unique_ptr<i_cold_start_limiter> MakeColdStartLimiter(
    const cold_start_settings& settings,
    const domain_id& domain,
    timestamp started_at);

}  // namespace wist

#endif  // COLDSTART_COLDSTART_MODULE_H_
