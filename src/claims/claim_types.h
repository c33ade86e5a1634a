#ifndef CLAIMS_CLAIM_TYPES_H_
#define CLAIMS_CLAIM_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "framework/base/time_types.h"

namespace wist {

// An idempotency key: a version 7 UUID, which carries its time of issue.
class idempotency_key {
 public:
  // Returns nothing if `text` is not a version 7 UUID. Upper case is folded.
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

// The answer that a claimed request got, replayed to a resend.
struct recorded_outcome {
  int status = 0;
  std::string body;

  auto operator<=>(const recorded_outcome&) const = default;
};

// The right to dispatch the request of `key` once. Only the process that drew
// `nonce` ever holds it.
struct claim_ticket {
  std::string key;
  std::string nonce;
  calendar_time issued_at;

  auto operator<=>(const claim_ticket&) const = default;
};

// Outcomes of a claim.
struct claim_granted {
  claim_ticket ticket;
};
struct claim_replayed {
  recorded_outcome outcome;
};
// Another claim of the key has no outcome: its request may have run.
struct claim_undecided {};
// The key was used with another body.
struct claim_mismatch {};
// The key's records were closed: its request may have run long ago.
struct claim_too_old {};
// The store did not settle the claim in time; it will not be dispatched.
struct claim_unavailable {};

using claim_result = std::variant<claim_granted,
                                  claim_replayed,
                                  claim_undecided,
                                  claim_mismatch,
                                  claim_too_old,
                                  claim_unavailable>;

// Changes to what the store keeps of a key. Applying one twice has the effect
// of applying it once.
struct claim_operation {
  claim_ticket ticket;
  std::string body_digest;
};
struct outcome_operation {
  claim_ticket ticket;
  recorded_outcome outcome;
};
struct withdraw_operation {
  claim_ticket ticket;
};
using bucket_operation =
    std::variant<claim_operation, outcome_operation, withdraw_operation>;

}  // namespace wist

#endif  // CLAIMS_CLAIM_TYPES_H_
