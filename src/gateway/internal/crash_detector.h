#ifndef GATEWAY_INTERNAL_CRASH_DETECTOR_H_
#define GATEWAY_INTERNAL_CRASH_DETECTOR_H_

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

// Detects whether a target crashed when the connection of a run broke, by
// opening a new connection to it: a target that only lost the response still
// accepts one. Not thread-safe.
class crash_detector {
 public:
  // `on_crash` is called with each run under which a crash was added to the
  // ledger.
  crash_detector(i_connector& connector,
                 i_scheduler& scheduler,
                 crash_ledger& ledger,
                 i_logger& logger,
                 std::function<void(const run_fingerprint&)> on_crash);

  // Starts a probe of the target: a run ended on it without a complete
  // response, after it had produced `event_count` events.
  void OnRunBroken(const run_fingerprint& run,
                   std::int64_t event_count,
                   const target_entry& target);

 private:
  struct broken_run {
    run_fingerprint fingerprint;
    std::int64_t event_count = 0;

    auto operator<=>(const broken_run&) const = default;
  };

  struct probe {
    std::set<broken_run> runs;
    timestamp connect_deadline;
    std::shared_ptr<i_channel> channel;
    std::unique_ptr<i_timer> timer;
  };

  void OnUnreachable(const target_id& target);
  void RecordCrash(const target_id& target, const broken_run& run);

  i_connector& connector_;
  i_scheduler& scheduler_;
  crash_ledger& ledger_;
  i_logger& logger_;
  const std::function<void(const run_fingerprint&)> on_crash_;
  std::map<target_id, probe> probes_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_CRASH_DETECTOR_H_
