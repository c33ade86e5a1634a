#ifndef ROLLOUT_REQUEST_VALIDATION_H_
#define ROLLOUT_REQUEST_VALIDATION_H_

#include <optional>
#include <set>
#include <vector>

#include "rollout/rollout_types.h"
#include "rollout/rollout_view.h"

namespace wist {

// Longest permitted duration of a roll-out: 24 h.
inline constexpr double kMaxRolloutDurationS = 86400;

// Returns why the request under the key of `service` is invalid, or nothing if
// it is valid. `targets` are those of the service; `established` the versions
// that serve it, or empty if unknown.
std::optional<invalid_request> FindRequestError(
    const service_id& service,
    const decoded_rollout_request& request,
    bool is_configured,
    const std::vector<rollout_target>& targets,
    const std::set<version_name>& established);

// Whether the request may become valid without being written again, by changes
// of the registered targets, the evacuations or the configuration.
bool MayBecomeValid(rollout_request_error error);

}  // namespace wist

#endif  // ROLLOUT_REQUEST_VALIDATION_H_
