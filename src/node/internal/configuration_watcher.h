#ifndef NODE_INTERNAL_CONFIGURATION_WATCHER_H_
#define NODE_INTERNAL_CONFIGURATION_WATCHER_H_

#include <memory>

#include "configuration/i_configuration_holder.h"
#include "framework/logging/i_logger.h"
#include "node/internal/cluster_state.h"
#include "store/i_kv_store.h"

namespace wist {

// Watches the configuration in the platform's store. If the store contains an
// older version than this instance, the newer one is written back.
class configuration_watcher {
 public:
  configuration_watcher(std::shared_ptr<i_kv_store> store,
                        std::shared_ptr<const i_clock> clock,
                        std::shared_ptr<i_configuration_holder> holder,
                        std::shared_ptr<cluster_state> cluster,
                        std::shared_ptr<i_logger> logger);

  // Waits a limited time for a change and applies it. Throws kv_unavailable.
  void WatchOnce();

 private:
  void OnEntry(const kv_entry& entry, timestamp read_at);
  void RestoreToStore(const configuration_document& current,
                      std::uint64_t revision);

  const std::shared_ptr<i_kv_store> store_;
  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<i_configuration_holder> holder_;
  const std::shared_ptr<cluster_state> cluster_;
  const std::shared_ptr<i_logger> logger_;
  std::uint64_t seen_revision_ = 0;
  std::int64_t seen_version_ = 0;
};

}  // namespace wist

#endif  // NODE_INTERNAL_CONFIGURATION_WATCHER_H_
