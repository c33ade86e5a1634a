#ifndef NODE_INTERNAL_PLAIN_ROUTER_H_
#define NODE_INTERNAL_PLAIN_ROUTER_H_

#include <map>
#include <memory>
#include <mutex>

#include "framework/base/i_clock.h"
#include "node/i_plain_router.h"
#include "node/internal/cluster_state.h"

namespace wist {

class plain_router final : public i_plain_router {
 public:
  plain_router(const domain_id& domain,
               std::shared_ptr<const i_clock> clock,
               std::shared_ptr<cluster_state> cluster);

  // i_plain_router:
  std::optional<target_spec> Choose(
      const workspace_id& workspace,
      const service_id& service,
      const std::vector<target_id>& excluded) override;
  bool MaySend(const target_spec& target) override;
  void OnFailure(const target_id& target) override;

  void ApplyConfiguration(const configuration_body& body);

 private:
  const domain_id domain_;
  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<cluster_state> cluster_;
  std::mutex mutex_;
  configuration_body body_;
  std::map<target_id, timestamp> backoff_until_;
  // Round-robin position.
  std::size_t next_index_ = 0;
};

}  // namespace wist

#endif  // NODE_INTERNAL_PLAIN_ROUTER_H_
