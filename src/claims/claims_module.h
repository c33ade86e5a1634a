#ifndef CLAIMS_CLAIMS_MODULE_H_
#define CLAIMS_CLAIMS_MODULE_H_

#include <memory>

#include "claims/i_claim_registry.h"
#include "claims/i_claim_sweeper.h"
#include "framework/base/i_clock.h"
#include "store/i_kv_store.h"

namespace wist {

struct claim_settings {
  // Length of a time slice. Keys are grouped into slices by time of issue, and
  // the buckets of a slice are closed at the same age.
  seconds slice_length{10};
  // Number of store values that the keys of one slice are distributed over.
  int buckets_per_slice = 16;
  // Maximum time by which a key's time of issue may be in the future.
  seconds max_clock_skew{300};
  // Minimum interval between two writes of one bucket by one process.
  milliseconds write_interval{60};
};

// Creates a registry that keeps its claims in `store`.
std::unique_ptr<i_claim_registry> MakeClaimRegistry(
    std::shared_ptr<i_kv_store> store,
    std::shared_ptr<const i_clock> clock,
    const claim_settings& settings);

// Age of a key after which its bucket is closed. Keys of a closed bucket are
// refused as too old.
inline constexpr std::chrono::hours kClaimRetention{24};

std::unique_ptr<i_claim_sweeper> MakeClaimSweeper(
    std::shared_ptr<i_kv_store> store,
    const claim_settings& settings);

// Closes bucket `bucket` of the time slice that contains `issued_at`: drops its
// records, so that all its keys are refused as too old from then on. An empty
// bucket stays unchanged, because none of its keys was ever claimed.
void CloseClaimBucket(i_kv_store& store,
                      const claim_settings& settings,
                      calendar_time issued_at,
                      int bucket,
                      timestamp deadline);

}  // namespace wist

#endif  // CLAIMS_CLAIMS_MODULE_H_
