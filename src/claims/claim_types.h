#ifndef CLAIMS_CLAIM_TYPES_H_
#define CLAIMS_CLAIM_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "framework/base/time_types.h"

namespace wist {

// Idempotency key of a request. It is a version 7 UUID, which contains the time
// at which it was issued.
class idempotency_key {
 public:
  // Parses `text` and converts it to lower case. Returns std::nullopt if it is
  // not a version 7 UUID.
  static std::optional<idempotency_key> Parse(const std::string& text);

  const std::string& text() const { return text_; }
  calendar_time issued_at() const { return issued_at_; }

  auto operator<=>(const idempotency_key&) const = default;

 private:
  idempotency_key(std::string text, calendar_time issued_at)
      : text_(std::move(text)), issued_at_(issued_at) {}

  std::string text_;
  calendar_time issued_at_;
};

// Response to a claimed request, replayed when the request is resent.
struct recorded_outcome {
  int status = 0;
  std::string body;

  auto operator<=>(const recorded_outcome&) const = default;
};

// Right to dispatch the request with idempotency key `key` once. It belongs to
// the process that generated `nonce` and is never transferred.
struct claim_ticket {
  std::string key;
  std::string nonce;
  calendar_time issued_at;

  auto operator<=>(const claim_ticket&) const = default;
};

// Results of a claim operation.

// The claim was granted: the holder of `ticket` may dispatch the request.
struct claim_granted {
  claim_ticket ticket;
};
// The request has already run and its response is recorded.
struct claim_replayed {
  recorded_outcome outcome;
};
// Another claim of the key exists without a recorded outcome. Its request may
// have run.
struct claim_in_doubt {};
// The key was already used for a request with a different body.
struct claim_body_mismatch {};
// The records of the key's bucket have been dropped. The request may have run
// before that.
struct claim_too_old {};
// The store did not confirm the claim before the deadline. The request will not
// be dispatched.
struct claim_store_unavailable {};

using claim_result = std::variant<claim_granted,
                                  claim_replayed,
                                  claim_in_doubt,
                                  claim_body_mismatch,
                                  claim_too_old,
                                  claim_store_unavailable>;

// Changes to the stored record of a key. Each of them is idempotent.

// Creates a claim.
struct claim_operation {
  claim_ticket ticket;
  std::string body_digest;
};
// Records the response to a claimed request.
struct outcome_operation {
  claim_ticket ticket;
  recorded_outcome outcome;
};
// Removes a claim whose request was not dispatched.
struct withdraw_operation {
  claim_ticket ticket;
};
using bucket_operation =
    std::variant<claim_operation, outcome_operation, withdraw_operation>;

}  // namespace wist

#endif  // CLAIMS_CLAIM_TYPES_H_
