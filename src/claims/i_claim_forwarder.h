#ifndef CLAIMS_I_CLAIM_FORWARDER_H_
#define CLAIMS_I_CLAIM_FORWARDER_H_

#include <optional>
#include <string>
#include <vector>

#include "claims/claim_types.h"

namespace wist {

// Reaches the instance that writes a bucket for all others. One writer a bucket
// avoids conflicts; it is never needed for safety. Thread-safe.
class i_claim_forwarder {
 public:
  virtual ~i_claim_forwarder() = default;

  // Returns the writer of `bucket`; an empty text if it is this instance.
  virtual std::string WriterOf(const std::string& bucket) = 0;

  // Returns the result of each operation; nothing if the writer gave no
  // answer by `deadline`: the operations may have taken effect or may yet.
  virtual std::optional<std::vector<claim_result>> Forward(
      const std::string& writer,
      const std::vector<bucket_operation>& operations,
      timestamp deadline) = 0;
};

}  // namespace wist

#endif  // CLAIMS_I_CLAIM_FORWARDER_H_
