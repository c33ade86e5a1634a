#ifndef GATEWAY_INTERNAL_RUN_MOVER_H_
#define GATEWAY_INTERNAL_RUN_MOVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "framework/net/buffered_call.h"
#include "gateway/internal/gateway_services.h"

namespace wist {

// The target and the KV cache with which a moved run continues.
struct moved_run {
  target_entry receiver;
  kv_cache_location kv_cache;
};

// Copies a run's KV cache from a target that is shutting down to another target
// while the run continues. Each object performs one move.
class run_mover : public std::enable_shared_from_this<run_mover> {
 public:
  using completion_handler = std::function<void(std::optional<moved_run>)>;

  // `on_complete` gets nullopt if the run could not be moved.
  run_mover(gateway_services& services,
            std::string request_id,
            target_entry source,
            selection_request request,
            timestamp deadline,
            completion_handler on_complete);

  void Start();

  // Cancels the move; `on_complete` is not called.
  void Cancel();

 private:
  void ChooseReceiver();
  void RequestCopy();
  void OnMoveResponse(const move_response& response);
  void ScheduleRetry();
  void EndReservation();
  void Finish(std::optional<moved_run> moved);
  void Log(const std::string& outcome);

  gateway_services& services_;
  const std::string request_id_;
  const target_entry source_;
  selection_request request_;
  const timestamp deadline_;
  completion_handler on_complete_;
  std::optional<target_entry> receiver_;
  std::optional<run_number> reservation_;
  // Receivers that refused the copy.
  std::set<target_id> full_receivers_;
  int copy_request_count_ = 0;
  std::string last_logged_;
  std::shared_ptr<buffered_call> call_;
  std::unique_ptr<i_timer> timer_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_RUN_MOVER_H_
