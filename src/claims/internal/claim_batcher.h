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

// Calls that the batcher wants made; one at a time for each bucket.
struct bucket_read {
  std::string bucket;
};
struct bucket_swap {
  std::string bucket;
  std::uint64_t expected = 0;
  std::string value;
};
using store_call = std::variant<bucket_read, bucket_swap>;

// The service could not be reached; the call had no effect.
struct store_unavailable {};
using store_answer = std::variant<kv_entry, kv_swap_result, store_unavailable>;

// Whose operation it is. Only the claimant itself may withdraw a claim: it
// alone knows that the request was never dispatched.
enum class operation_origin { own, forwarded };

struct completed_operation {
  operation_number number = 0;
  claim_result result;
};

// Groups operations on buckets into compare-and-swaps. Holds no lock, makes no
// call and reads no clock.
class claim_batcher {
 public:
  explicit claim_batcher(const claim_settings& settings)
      : settings_(settings) {}

  // Queues an operation that is given up at `deadline`.
  operation_number Submit(bucket_operation operation,
                          timestamp now,
                          timestamp deadline,
                          operation_origin origin = operation_origin::own);

  // Returns the next call to make, if any bucket is ready for one.
  std::optional<store_call> NextCall(timestamp now);

  // Takes the answer to a call and returns the operations it settled.
  std::vector<completed_operation> OnAnswer(const std::string& bucket,
                                            const store_answer& answer,
                                            timestamp now);

  // Gives up what is past its deadline; a claim is followed by its withdrawal.
  std::vector<completed_operation> Expire(timestamp now);

  // The next time at which NextCall or Expire has something to do.
  std::optional<timestamp> NextWakeUp() const;

 private:
  struct pending_operation {
    operation_number number = 0;
    bucket_operation operation;
    timestamp submitted_at;
    timestamp deadline;
    operation_origin origin = operation_origin::own;
  };

  struct bucket_state {
    std::deque<pending_operation> pending;
    // Numbers of the operations that the swap under way carries.
    std::vector<operation_number> carried;
    claim_bucket cached;
    // What the store holds once that swap took effect.
    claim_bucket proposed;
    std::uint64_t revision = 0;
    // When the call that gave `cached` was made; nothing before the first.
    std::optional<timestamp> fresh_at;
    bool needs_read = true;
    bool in_flight = false;
    timestamp called_at;
    timestamp not_before;
  };

  bool Ready(const bucket_state& state, timestamp now) const;
  store_call MakeCall(const std::string& key,
                      bucket_state& state,
                      timestamp now);
  std::vector<completed_operation> OnValue(bucket_state& state,
                                           const kv_entry& entry,
                                           timestamp now);
  std::vector<completed_operation> SettleFromCache(bucket_state& state);
  std::vector<completed_operation> SettleCarried(bucket_state& state,
                                                 std::uint64_t revision);

  const claim_settings settings_;
  std::map<std::string, bucket_state> buckets_;
  operation_number last_number_ = 0;
};

}  // namespace wist

#endif  // CLAIMS_INTERNAL_CLAIM_BATCHER_H_
