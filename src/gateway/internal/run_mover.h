#ifndef GATEWAY_INTERNAL_RUN_MOVER_H_
#define GATEWAY_INTERNAL_RUN_MOVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "framework/net/whole_call.h"
#include "gateway/internal/gateway_services.h"

namespace wist {

// Where a run may go on.
struct moved_run {
  target_entry receiver;
  run_memory memory;
};

// Copies one run's memory from a target that leaves to another one while the
// run goes on. One move only.
class run_mover : public std::enable_shared_from_this<run_mover> {
 public:
  using done_handler = std::function<void(std::optional<moved_run>)>;

  // `on_done` gets nothing if the run has to stay where it is.
  run_mover(gateway_services& services,
            std::string request_id,
            target_entry source,
            selection_request request,
            timestamp deadline,
            done_handler on_done);

  void Start();

  // Ends the move; `on_done` is not called.
  void Cancel();

 private:
  void ChooseReceiver();
  void OrderCopy();
  void OnAnswer(const move_answer& answer);
  void TryAgainLater();
  void Done(std::optional<moved_run> moved);
  void Log(const std::string& outcome);

  gateway_services& services_;
  const std::string request_id_;
  const target_entry source_;
  selection_request request_;
  const timestamp deadline_;
  done_handler on_done_;
  std::optional<target_entry> receiver_;
  std::optional<run_number> reserved_;
  // Receivers that said that they have no room.
  std::set<target_id> full_;
  int orders_ = 0;
  std::string logged_outcome_;
  std::shared_ptr<whole_call> call_;
  std::unique_ptr<i_timer> timer_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_RUN_MOVER_H_
