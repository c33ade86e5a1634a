#ifndef ENTRY_INTERNAL_DEFERRED_CANCELLER_H_
#define ENTRY_INTERNAL_DEFERRED_CANCELLER_H_

#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "configuration/configuration_types.h"
#include "framework/base/i_clock.h"
#include "framework/base/periodic_thread.h"
#include "framework/http/i_http_client.h"

namespace wist {

// Cancels generations whose callers disconnected and did not reconnect in time.
// Thread-safe.
class deferred_canceller {
 public:
  deferred_canceller(std::shared_ptr<i_http_client> client,
                     std::shared_ptr<const i_clock> clock);

  void ScheduleCancel(const target_spec& target, const std::string& generation);

 private:
  struct scheduled_cancel {
    target_spec target;
    std::string generation;
    timestamp due_at;
  };

  void CancelDue();
  void Cancel(const scheduled_cancel& cancel);

  const std::shared_ptr<i_http_client> client_;
  const std::shared_ptr<const i_clock> clock_;
  std::mutex mutex_;
  std::deque<scheduled_cancel> scheduled_;
  periodic_thread thread_;
};

}  // namespace wist

#endif  // ENTRY_INTERNAL_DEFERRED_CANCELLER_H_
