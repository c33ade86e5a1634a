#ifndef CLAIMS_INTERNAL_CLAIM_BUCKET_H_
#define CLAIMS_INTERNAL_CLAIM_BUCKET_H_

#include <map>
#include <string>
#include <variant>

#include "claims/claim_types.h"
#include "claims/claims_module.h"

namespace wist {

// What the store keeps of one key.
struct claim_record {
  std::string nonce;
  std::string body_digest;
  std::optional<recorded_outcome> outcome;

  auto operator<=>(const claim_record&) const = default;
};

// One value of the store: the records of some keys.
struct claim_bucket {
  bool closed = false;
  // Counts the withdrawals, so that each of them changes the value.
  std::uint64_t withdrawals = 0;
  std::map<std::string, claim_record> records;

  auto operator<=>(const claim_bucket&) const = default;
};

// What an operation gives once the bucket it left is in the store.
struct operation_effect {
  claim_result result;
  bool changed = false;
};

const claim_ticket& TicketOf(const bucket_operation& operation);

// Applies `operation` to `bucket`.
operation_effect Apply(const bucket_operation& operation, claim_bucket& bucket);

// Returns the store's key for the bucket of a claim.
std::string BucketKey(const claim_settings& settings,
                      const std::string& key,
                      calendar_time issued_at);
std::string BucketKey(const claim_settings& settings,
                      calendar_time issued_at,
                      int bucket);

std::string EncodeBucket(const claim_bucket& bucket);

// Returns an empty bucket for an empty text; throws std::runtime_error for a
// text that is not a bucket.
claim_bucket DecodeBucket(const std::string& text);

}  // namespace wist

#endif  // CLAIMS_INTERNAL_CLAIM_BUCKET_H_
