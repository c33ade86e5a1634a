#ifndef LIMITS_LIMITS_TYPES_H_
#define LIMITS_LIMITS_TYPES_H_

#include <compare>
#include <string>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// A target crashed while it ran the request with this digest.
struct target_crash {
  std::string request_digest;
  target_id target;
  timestamp deadline;

  auto operator<=>(const target_crash&) const = default;
};

// Fraction of a workspace's limit that this instance may use until `deadline`.
struct limit_share {
  workspace_id workspace;
  double share = 1;
  timestamp deadline;
};

// Requests of a workspace that this instance received in the last interval.
struct limit_demand {
  workspace_id workspace;
  double requests = 0;
};

}  // namespace wist

#endif  // LIMITS_LIMITS_TYPES_H_
