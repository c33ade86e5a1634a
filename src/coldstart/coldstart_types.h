#ifndef COLDSTART_COLDSTART_TYPES_H_
#define COLDSTART_COLDSTART_TYPES_H_

#include <compare>
#include <cstdint>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"
#include "quota/quota_types.h"

namespace wist {

// What a member asks the steward of its failure domain for.
struct cold_request {
  target_id target;
  // Requests running on the target beyond the member's static part.
  std::int32_t running = 0;
  // Further requests it would send.
  std::int32_t wanted = 0;

  auto operator<=>(const cold_request&) const = default;
};

// The right to have `count` requests running on a cold target, beyond the
// static part. It lapses `valid_for` after the member sent its request.
struct cold_permit {
  target_id target;
  std::int32_t count = 0;
  std::uint64_t epoch = 0;
  milliseconds valid_for{0};

  auto operator<=>(const cold_permit&) const = default;
};

struct cold_settings {
  milliseconds permit_validity{3000};
  // Covers the drift of clocks while a permit is valid, and the time between
  // the check of a permit and the send.
  milliseconds margin{500};
  // Within this time each instance hears that a target turned cold, and until
  // then it may send to it as to a warm one.
  milliseconds news_delay{1500};
  // A new process leaves its static part unused for this long: requests of its
  // predecessor may still run.
  milliseconds quiet_start{8000};
};

// Returns the requests that each live instance of the target's failure domain
// may run on it while cold without asking anybody.
std::int32_t StaticPart(const target_spec& target, const domain_spec& domain);

// Returns the requests that the steward of the domain hands out.
std::int32_t PooledPart(const target_spec& target, const domain_spec& domain);

}  // namespace wist

#endif  // COLDSTART_COLDSTART_TYPES_H_
