#ifndef NODE_INTERNAL_STORE_FOLLOWER_H_
#define NODE_INTERNAL_STORE_FOLLOWER_H_

#include <memory>

#include "configuration/i_configuration_holder.h"
#include "framework/logging/i_logger.h"
#include "node/internal/cluster_desk.h"
#include "store/i_kv_store.h"

namespace wist {

// Follows the configuration in the platform's store, and puts the held one
// back when the store shows an older one.
class store_follower {
 public:
  store_follower(std::shared_ptr<i_kv_store> store,
                 std::shared_ptr<const i_clock> clock,
                 std::shared_ptr<i_configuration_holder> holder,
                 std::shared_ptr<cluster_desk> cluster,
                 std::shared_ptr<i_logger> logger);

  // Waits for a change for a short time. Throws kv_unavailable.
  void Follow();

 private:
  void TakeEntry(const kv_entry& entry, timestamp read_at);
  void PutBack(const configuration_document& held, std::uint64_t revision);

  const std::shared_ptr<i_kv_store> store_;
  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<i_configuration_holder> holder_;
  const std::shared_ptr<cluster_desk> cluster_;
  const std::shared_ptr<i_logger> logger_;
  std::uint64_t seen_revision_ = 0;
  std::int64_t seen_version_ = 0;
};

}  // namespace wist

#endif  // NODE_INTERNAL_STORE_FOLLOWER_H_
