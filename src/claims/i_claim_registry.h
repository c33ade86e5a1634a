#ifndef CLAIMS_I_CLAIM_REGISTRY_H_
#define CLAIMS_I_CLAIM_REGISTRY_H_

#include <memory>
#include <string>
#include <vector>

#include "claims/claim_types.h"
#include "claims/i_claim_forwarder.h"

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

  // Applies operations of other instances to buckets that this one writes.
  virtual std::vector<claim_result> RunForwarded(
      const std::vector<bucket_operation>& operations,
      timestamp deadline) = 0;

  // From now on operations go to the writers that `forwarder` names.
  virtual void SetForwarder(std::shared_ptr<i_claim_forwarder> forwarder) = 0;

  // Gives up a claim whose request was never dispatched, so that a resend may
  // run. The holder must not dispatch afterwards.
  virtual void Withdraw(const claim_ticket& ticket, timestamp deadline) = 0;
};

}  // namespace wist

#endif  // CLAIMS_I_CLAIM_REGISTRY_H_
