#ifndef CLAIMS_INTERNAL_CLAIM_BATCHER_H_
#define CLAIMS_INTERNAL_CLAIM_BATCHER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "claims/internal/claim_bucket.h"
#include "store/store_types.h"

namespace wist {

using operation_number = std::uint64_t;

// Store calls requested by the batcher. Each bucket has at most one call in
// flight.
struct bucket_read {
  std::string bucket;
};
struct bucket_swap {
  std::string bucket;
  std::uint64_t expected = 0;
  std::string value;
};
using store_call = std::variant<bucket_read, bucket_swap>;

// The store could not be reached and the call had no effect.
struct store_unavailable {};
using store_response =
    std::variant<kv_entry, kv_swap_result, store_unavailable>;

// Origin of an operation. Only the instance that made a claim may withdraw it,
// because no other instance knows whether the request was dispatched.
enum class operation_origin { local, forwarded };

struct completed_operation {
  operation_number number = 0;
  claim_result result;
};

// Combines operations on the same bucket into one compare-and-swap. A state
// machine that takes no locks, does no I/O and reads no clock.
class claim_batcher {
 public:
  explicit claim_batcher(const claim_settings& settings)
      : settings_(settings) {}

  // Queues an operation that expires at `deadline`. Returns its number.
  operation_number Submit(bucket_operation operation,
                          timestamp now,
                          timestamp deadline,
                          operation_origin origin = operation_origin::local);

  // Returns the next store call to make, or std::nullopt if no bucket is ready.
  std::optional<store_call> NextCall(timestamp now);

  // Processes the response to a store call. Returns the operations that it
  // completed.
  std::vector<completed_operation> OnStoreResponse(
      const std::string& bucket,
      const store_response& response,
      timestamp now);

  // Completes operations that are past their deadline as unavailable. Queues a
  // withdrawal for each local claim among them.
  std::vector<completed_operation> Expire(timestamp now);

  // Returns the next time at which NextCall or Expire has work to do.
  std::optional<timestamp> NextWakeUp() const;

 private:
  struct pending_operation {
    operation_number number = 0;
    bucket_operation operation;
    timestamp submitted_at;
    timestamp deadline;
    operation_origin origin = operation_origin::local;
  };

  struct bucket_state {
    std::deque<pending_operation> pending;
    // Numbers of the operations that are part of the swap in flight.
    std::vector<operation_number> swapped_numbers;
    claim_bucket cached;
    // Bucket that the store contains once the swap in flight succeeds.
    claim_bucket proposed;
    std::uint64_t revision = 0;
    // Start time of the store call that returned `cached`; empty before the
    // first one.
    std::optional<timestamp> cached_as_of;
    bool needs_read = true;
    bool in_flight = false;
    timestamp called_at;
    timestamp not_before;
  };

  bool IsReady(const bucket_state& state, timestamp now) const;
  store_call PrepareCall(const std::string& key,
                         bucket_state& state,
                         timestamp now);
  std::vector<completed_operation> OnBucketRead(bucket_state& state,
                                                const kv_entry& entry,
                                                timestamp now);
  std::vector<completed_operation> CompleteFromCache(bucket_state& state);
  std::vector<completed_operation> CompleteSwapped(bucket_state& state,
                                                   std::uint64_t revision);

  const claim_settings settings_;
  std::map<std::string, bucket_state> buckets_;
  operation_number last_number_ = 0;
};

}  // namespace wist

#endif  // CLAIMS_INTERNAL_CLAIM_BATCHER_H_
