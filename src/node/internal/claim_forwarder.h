#ifndef NODE_INTERNAL_CLAIM_FORWARDER_H_
#define NODE_INTERNAL_CLAIM_FORWARDER_H_

#include <memory>

#include "claims/i_claim_forwarder.h"
#include "node/internal/cluster_state.h"
#include "peer_link/i_peer_link.h"

namespace wist {

// Selects the writer of a bucket by rendezvous hashing over all live members.
class claim_forwarder final : public i_claim_forwarder {
 public:
  claim_forwarder(const instance_id& self,
                  std::shared_ptr<cluster_state> cluster,
                  std::shared_ptr<i_peer_link> link);

  // i_claim_forwarder:
  std::string WriterOf(const std::string& bucket) override;
  std::optional<std::vector<claim_result>> Forward(
      const std::string& writer,
      const std::vector<bucket_operation>& operations,
      timestamp deadline) override;

 private:
  const instance_id self_;
  const std::shared_ptr<cluster_state> cluster_;
  const std::shared_ptr<i_peer_link> link_;
};

}  // namespace wist

#endif  // NODE_INTERNAL_CLAIM_FORWARDER_H_
