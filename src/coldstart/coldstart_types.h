#ifndef COLDSTART_COLDSTART_TYPES_H_
#define COLDSTART_COLDSTART_TYPES_H_

#include <compare>
#include <cstdint>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"
#include "quota/quota_types.h"

namespace wist {

// Request of an instance for a permit. It is sent to the cold start coordinator
// of the instance's failure domain.
struct cold_permit_request {
  target_id target;
  // Requests that the instance has running on the target beyond its static
  // limit.
  std::int32_t running = 0;
  // Further requests that the instance would send now.
  std::int32_t wanted = 0;

  auto operator<=>(const cold_permit_request&) const = default;
};

// Permits an instance to have `count` requests running on a cold target in
// addition to its static limit. Expires `valid_for` after the instance sent its
// permit request. `epoch` is the fencing number of the coordinator's lease.
struct cold_permit {
  target_id target;
  std::int32_t count = 0;
  std::uint64_t epoch = 0;
  milliseconds valid_for{0};

  auto operator<=>(const cold_permit&) const = default;
};

struct cold_start_settings {
  milliseconds permit_validity{3000};
  // Covers clock drift during the validity of a permit, and the time between
  // the check of a permit and the sending of a request under it.
  milliseconds safety_margin{500};
  // Upper bound on the time until every instance has learned that a target has
  // turned cold. Until then an instance may send to it as to a warm target.
  milliseconds cold_report_propagation{1500};
  // A new process does not use its static limit for this long, because requests
  // of its predecessor may still run under that limit.
  milliseconds startup_hold_off{8000};
};

// Returns how many requests each live instance of the target's failure domain
// may run on the target while it is cold, without a permit.
std::int32_t StaticLimitPerInstance(const target_spec& target,
                                    const domain_spec& domain);

// Returns how many requests on the cold target the coordinator of the failure
// domain may permit in total: what remains of the target's limit after the
// static limits.
std::int32_t PooledLimit(const target_spec& target, const domain_spec& domain);

}  // namespace wist

#endif  // COLDSTART_COLDSTART_TYPES_H_
