#ifndef GATEWAY_INTERNAL_RUN_STOPPER_H_
#define GATEWAY_INTERNAL_RUN_STOPPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "framework/net/buffered_call.h"
#include "gateway/internal/gateway_services.h"
#include "gateway/internal/run_continuation.h"

namespace wist {

// A stop that was refused or not confirmed is requested again after this time.
inline constexpr milliseconds kStopRetryInterval{60};

// Tells a target to stop a run that continues on another target, until it has
// confirmed that. Each object stops one run.
class run_stopper : public std::enable_shared_from_this<run_stopper> {
 public:
  // Called for each response, and for each request that got none. Returns
  // whether the run may need the copy that the result names; else it is freed.
  using result_handler = std::function<bool(const stop_result&)>;

  // `on_end` is called after the last result.
  run_stopper(gateway_services& services,
              std::string request_id,
              target_entry source,
              http_address receiver,
              result_handler on_result,
              std::function<void()> on_end);

  void Start();

  // Calls no handler from now on. The run uses `used_handle`; copies with other
  // handles are freed.
  void Detach(std::string used_handle);

 private:
  void RequestStop();
  stop_result ResultOf(const std::optional<buffered_response>& response,
                       bool connect_failed);
  void OnResult(const stop_result& result, int status);
  void RetryOrGiveUp(const std::string& outcome);
  void End();
  void Log(const std::string& outcome);

  gateway_services& services_;
  const std::string request_id_;
  const target_entry source_;
  const http_address receiver_;
  const timestamp started_at_;
  result_handler on_result_;
  std::function<void()> on_end_;
  std::string used_handle_;
  int request_count_ = 0;
  std::shared_ptr<buffered_call> call_;
  std::unique_ptr<i_timer> retry_timer_;
};

// Tells a target to free a copy that no run uses.
void ReleaseCopy(gateway_services& services, const unused_copy& copy);

}  // namespace wist

#endif  // GATEWAY_INTERNAL_RUN_STOPPER_H_
