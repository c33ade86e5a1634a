#ifndef GATEWAY_INTERNAL_RUN_MOVER_H_
#define GATEWAY_INTERNAL_RUN_MOVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/internal/gateway_services.h"

namespace wist {

// Where a run may go on.
struct moved_run {
  target_entry receiver;
  run_memory memory;
};

// Copies one run's memory from a target that leaves to another one: first
// while the run goes on, then the rest after it has stopped. One move only.
class run_mover : public std::enable_shared_from_this<run_mover> {
 public:
  using done_handler = std::function<void(std::optional<moved_run>)>;

  // `on_done` gets nothing if the run stays where it is, or was lost.
  run_mover(gateway_services& services,
            std::string request_id,
            target_entry source,
            selection_request request,
            timestamp deadline,
            done_handler on_done);

  void Start();

  // Ends the move and frees what was copied.
  void Cancel();

  // Whether the run was told to stop: its stream then ends without its end.
  bool StopsRun() const { return stopping_; }

  // Where the run can go on if its target breaks off now; nothing without a
  // copy.
  std::optional<moved_run> Copied() const;

 private:
  void ChooseReceiver();
  void Order(bool is_last);
  void OnAnswer(bool is_last, const move_answer& answer);
  void OnBrokenCall(bool is_last);
  void TryAgainLater();
  void Done(std::optional<moved_run> moved);
  void Log(const std::string& step, const std::string& outcome);

  gateway_services& services_;
  const std::string request_id_;
  const target_entry source_;
  selection_request request_;
  const timestamp deadline_;
  done_handler on_done_;
  std::optional<target_entry> receiver_;
  std::string handle_;
  bool copied_ = false;
  bool stopping_ = false;
  int tries_ = 0;
  std::shared_ptr<i_http_call> call_;
  std::unique_ptr<i_timer> timer_;
  int status_ = 0;
  std::string body_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_RUN_MOVER_H_
