#ifndef GATEWAY_INTERNAL_EXCHANGE_H_
#define GATEWAY_INTERNAL_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/internal/gateway_services.h"
#include "gateway/internal/i_reply.h"
#include "gateway/internal/request_routing.h"
#include "gateway/internal/run_mover.h"
#include "streams/event_splitter.h"

namespace wist {

// A request on its way to one target.
struct target_attempt {
  target_entry target;
  run_number run = 0;
  std::shared_ptr<i_http_call> call;
  answer_facts facts;
  http_answer_head head;
  std::string body;
  // Who copies the run's memory as it grows.
  std::optional<target_entry> backup;
  run_number backup_copy = 0;
};

// One request from its arrival to the end of its answer: where it is sent, when
// it is sent again, and what its caller is told.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  // `reply` has to live until the exchange is over or OnCallerGone is called.
  exchange(gateway_services& services,
           caller_request request,
           i_reply& reply,
           std::function<void()> on_over);
  ~exchange();

  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void Start();

  // The caller left: work for it stops at once.
  void OnCallerGone();

  // The target takes no new work and will end soon.
  void OnTargetLeaves(const target_id& target);

 private:
  const route_spec& Route() const;
  selection_request SelectionRequest() const;
  void Dispatch();
  void Hold(const selection_fault& fault);
  void Send(const target_entry& target,
            const std::optional<run_memory>& memory);
  milliseconds TimeLeft(timestamp now) const;
  bool MayRunMore() const;
  bool TakeRepeat();
  bool IsQuarantined() const;
  void RepeatElsewhere(run_end end);

  void OnHead(const http_answer_head& head);
  void OnBody(std::string bytes);
  void NoteEvents();
  void OnDone(call_outcome outcome);
  void OnComplete();
  void OnRejected(bool arrived);
  void OnFailure(run_end end);
  void BreakStream(const std::string& reason);
  void OnSlowAttempt();
  void OnDeadline();
  void EndAttempt(run_end end);

  void BeginMove();
  void OnMoved(std::optional<moved_run> moved);
  void Resume(const moved_run& moved);
  void AddBackup(target_dispatch& dispatch);
  bool ResumeFromBackup();

  void PassOn();
  void Refuse(error_code code, run_verdict verdict);
  void RefuseFull(milliseconds retry_after);
  void Over(const std::string& outcome,
            const std::string& reason,
            run_verdict verdict);
  void Log(const std::string& outcome,
           const std::string& reason,
           run_verdict verdict);

  gateway_services& services_;
  const caller_request request_;
  i_reply* reply_;
  std::function<void()> on_over_;
  const timestamp received_at_;
  const request_digest digest_;
  // Its route is null until the request was routed.
  routed_request routed_;

  std::optional<target_attempt> attempt_;
  std::set<target_id> excluded_;
  int sends_ = 0;
  int runs_ = 0;  // Attempts that may have run.
  bool may_have_run_ = false;
  bool streaming_ = false;  // The head of a stream went to the caller.
  bool over_ = false;
  event_splitter splitter_;
  // The load by which the last target was chosen, for the log.
  target_load chosen_load_;
  // How the events of a stream came, for the log.
  std::optional<timestamp> first_event_at_;
  timestamp newest_event_at_{};
  microseconds longest_pause_{0};
  std::shared_ptr<run_mover> mover_;
  bool move_wanted_ = false;
  int resumes_ = 0;
  int backup_resumes_ = 0;
  std::unique_ptr<i_timer> deadline_timer_;
  std::unique_ptr<i_timer> attempt_timer_;
  std::unique_ptr<i_timer> hold_timer_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_EXCHANGE_H_
