#ifndef CLAIMS_I_CLAIM_REGISTRY_H_
#define CLAIMS_I_CLAIM_REGISTRY_H_

#include <string>

#include "claims/claim_types.h"

namespace wist {

// Decides which process may dispatch a request that runs at most once.
// Thread-safe; calls block.
class i_claim_registry {
 public:
  virtual ~i_claim_registry() = default;

  // Claims `key` for a request whose body has digest `body_digest`.
  virtual claim_result Claim(const idempotency_key& key,
                             const std::string& body_digest,
                             timestamp deadline) = 0;

  // Records what the claimed request answered. Returns whether the record was
  // written by `deadline`.
  virtual bool RecordOutcome(const claim_ticket& ticket,
                             const recorded_outcome& outcome,
                             timestamp deadline) = 0;

  // Gives up a claim whose request was never dispatched, so that a resend may
  // run. The holder must not dispatch afterwards.
  virtual void Withdraw(const claim_ticket& ticket, timestamp deadline) = 0;
};

}  // namespace wist

#endif  // CLAIMS_I_CLAIM_REGISTRY_H_
