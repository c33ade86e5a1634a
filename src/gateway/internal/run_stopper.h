#ifndef GATEWAY_INTERNAL_RUN_STOPPER_H_
#define GATEWAY_INTERNAL_RUN_STOPPER_H_

#include <functional>
#include <memory>
#include <string>

#include "framework/net/buffered_call.h"
#include "gateway/internal/gateway_services.h"

namespace wist {

// Makes a target stop a run whose connection was closed, so that the run can
// continue on another target. Each object stops one run.
class run_stopper : public std::enable_shared_from_this<run_stopper> {
 public:
  // `used_handle` is the copy with which the run continues on `receiver`; a
  // copy that the stop itself makes is freed. `on_continue` is called once:
  // when the target has confirmed the stop or accepts no connection, at the
  // latest after 100 ms. An unconfirmed stop is requested again after that.
  run_stopper(gateway_services& services,
              std::string request_id,
              target_entry source,
              http_address receiver,
              std::string used_handle,
              std::function<void()> on_continue);

  void Start();

 private:
  void RequestStop();
  void OnNoResponse(bool connect_failed);
  void OnResponse(const move_response& response);
  void RetryOrGiveUp(const std::string& outcome);
  void ReleaseCopy(const std::string& handle);
  void Continue();
  void Log(const std::string& outcome);

  gateway_services& services_;
  const std::string request_id_;
  const target_entry source_;
  const http_address receiver_;
  const std::string used_handle_;
  const timestamp started_at_;
  std::function<void()> on_continue_;
  int request_count_ = 0;
  std::shared_ptr<buffered_call> call_;
  std::unique_ptr<i_timer> continue_timer_;
  std::unique_ptr<i_timer> retry_timer_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_RUN_STOPPER_H_
