#ifndef CLAIMS_CLAIMS_MODULE_H_
#define CLAIMS_CLAIMS_MODULE_H_

#include <memory>

#include "claims/i_claim_registry.h"
#include "claims/i_claim_sweeper.h"
#include "framework/base/i_clock.h"
#include "store/i_kv_store.h"

namespace wist {

struct claim_settings {
  // Keys are grouped by time of issue; a group is closed as a whole.
  seconds slice_length{10};
  // Values a group is spread over.
  int buckets_a_slice = 16;
  // A key issued further ahead than this is refused.
  seconds max_clock_skew{300};
  // Shortest time between two writes of one bucket by one process.
  milliseconds write_interval{60};
};

// Returns a registry over the platform's key-value service.
std::unique_ptr<i_claim_registry> MakeClaimRegistry(
    std::shared_ptr<i_kv_store> store,
    std::shared_ptr<const i_clock> clock,
    const claim_settings& settings);

// Keys are refused as too old once their records were closed, this long after
// they were issued.
inline constexpr std::chrono::hours kClaimRetention{24};

std::unique_ptr<i_claim_sweeper> MakeClaimSweeper(
    std::shared_ptr<i_kv_store> store,
    const claim_settings& settings);

// Closes the bucket `bucket` of the slice that holds `issued_at`: its records
// are dropped and each key of it is refused from then on. A bucket without
// records is left as it is: none of its keys was ever claimed.
void CloseClaimBucket(i_kv_store& store,
                      const claim_settings& settings,
                      calendar_time issued_at,
                      int bucket,
                      timestamp deadline);

}  // namespace wist

#endif  // CLAIMS_CLAIMS_MODULE_H_
