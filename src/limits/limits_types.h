#ifndef LIMITS_LIMITS_TYPES_H_
#define LIMITS_LIMITS_TYPES_H_

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

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
