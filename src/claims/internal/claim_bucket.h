#ifndef CLAIMS_INTERNAL_CLAIM_BUCKET_H_
#define CLAIMS_INTERNAL_CLAIM_BUCKET_H_

#include <map>
#include <string>
#include <variant>

#include "claims/claim_types.h"
#include "claims/claims_module.h"

namespace wist {

// Stored record of one key.
struct claim_record {
  std::string nonce;
  std::string body_digest;
  std::optional<recorded_outcome> outcome;

  auto operator<=>(const claim_record&) const = default;
};

// One value of the store. It contains the records of several keys.
struct claim_bucket {
  bool closed = false;
  // Number of withdrawals. It ensures that every withdrawal changes the value.
  std::uint64_t withdrawals = 0;
  std::map<std::string, claim_record> records;

  auto operator<=>(const claim_bucket&) const = default;
};

// Effect of an operation on a bucket. `result` is valid once the changed bucket
// is stored. For an outcome it is claim_replayed, or claim_too_old if the claim
// does not exist; for a withdrawal it is claim_granted, or claim_too_old if the
// bucket is closed.
struct operation_effect {
  claim_result result;
  bool changed = false;
};

const claim_ticket& TicketOf(const bucket_operation& operation);

operation_effect Apply(const bucket_operation& operation, claim_bucket& bucket);

// Returns the store key of the bucket that contains the idempotency key `key`.
std::string BucketKey(const claim_settings& settings,
                      const std::string& key,
                      calendar_time issued_at);

// Returns the store key of bucket `bucket` of the time slice that contains
// `issued_at`.
std::string BucketKey(const claim_settings& settings,
                      calendar_time issued_at,
                      int bucket);

std::string EncodeBucket(const claim_bucket& bucket);

// Returns an empty bucket for an empty string. Throws std::runtime_error if
// `text` is not an encoded bucket.
claim_bucket DecodeBucket(const std::string& text);

}  // namespace wist

#endif  // CLAIMS_INTERNAL_CLAIM_BUCKET_H_
