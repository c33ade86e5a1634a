#ifndef CLAIMS_I_CLAIM_REGISTRY_H_
#define CLAIMS_I_CLAIM_REGISTRY_H_

#include <memory>
#include <string>
#include <vector>

#include "claims/claim_types.h"
#include "claims/i_claim_forwarder.h"

namespace wist {

// Decides which process may dispatch a request that must run at most once.
// Thread-safe. All calls except SetForwarder block.
class i_claim_registry {
 public:
  virtual ~i_claim_registry() = default;

  // Claims `key` for a request whose body has the digest `body_digest`.
  virtual claim_result Claim(const idempotency_key& key,
                             const std::string& body_digest,
                             timestamp deadline) = 0;

  // Records the response to the claimed request. Returns whether it was written
  // before `deadline`.
  virtual bool RecordOutcome(const claim_ticket& ticket,
                             const recorded_outcome& outcome,
                             timestamp deadline) = 0;

  // Applies operations forwarded by other instances to buckets that this
  // instance writes. Returns the result of each.
  virtual std::vector<claim_result> ApplyForwarded(
      const std::vector<bucket_operation>& operations,
      timestamp deadline) = 0;

  // Sends all further operations to the bucket writers that `forwarder`
  // selects. Without a forwarder, this instance writes all buckets itself.
  virtual void SetForwarder(std::shared_ptr<i_claim_forwarder> forwarder) = 0;

  // Withdraws a claim whose request was never dispatched, so that the request
  // can be resent. The caller must not dispatch it afterwards.
  virtual void Withdraw(const claim_ticket& ticket, timestamp deadline) = 0;
};

}  // namespace wist

#endif  // CLAIMS_I_CLAIM_REGISTRY_H_
