#ifndef CLAIMS_I_CLAIM_FORWARDER_H_
#define CLAIMS_I_CLAIM_FORWARDER_H_

#include <optional>
#include <string>
#include <vector>

#include "claims/claim_types.h"

namespace wist {

// Forwards claim operations to the instance that writes a bucket on behalf of
// all others. A single writer per bucket avoids conflicting writes; correctness
// does not depend on it. Thread-safe.
class i_claim_forwarder {
 public:
  virtual ~i_claim_forwarder() = default;

  // Returns the address of the instance that writes `bucket`, or an empty
  // string if it is this instance.
  virtual std::string WriterOf(const std::string& bucket) = 0;

  // Sends `operations` to `writer` and returns the result of each. Returns
  // std::nullopt if the writer did not respond before `deadline`; the
  // operations may then have taken effect or may still do so.
  virtual std::optional<std::vector<claim_result>> Forward(
      const std::string& writer,
      const std::vector<bucket_operation>& operations,
      timestamp deadline) = 0;
};

}  // namespace wist

#endif  // CLAIMS_I_CLAIM_FORWARDER_H_
