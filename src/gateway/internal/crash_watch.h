#ifndef GATEWAY_INTERNAL_CRASH_WATCH_H_
#define GATEWAY_INTERNAL_CRASH_WATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "directory/directory_types.h"
#include "framework/logging/i_logger.h"
#include "framework/net/i_channel.h"
#include "framework/net/i_scheduler.h"
#include "limits/crash_ledger.h"

namespace wist {

// Finds out whether a target crashed when the channel of a run broke: one that
// lost an answer only still takes new channels. Not thread-safe.
class crash_watch {
 public:
  // `on_crash` is told after the ledger was changed.
  crash_watch(i_connector& connector,
              i_scheduler& scheduler,
              crash_ledger& ledger,
              i_logger& logger,
              std::function<void()> on_crash);

  // A run of the request ended on the target without an answer.
  void OnRunBroken(request_digest digest, const target_entry& target);

 private:
  struct probe {
    std::set<request_digest> digests;
    std::shared_ptr<i_channel> channel;
    std::unique_ptr<i_timer> timer;
  };

  void OnUnreachable(const target_id& target);

  i_connector& connector_;
  i_scheduler& scheduler_;
  crash_ledger& ledger_;
  i_logger& logger_;
  const std::function<void()> on_crash_;
  std::map<target_id, probe> probes_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_CRASH_WATCH_H_
