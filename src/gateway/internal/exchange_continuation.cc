#include <utility>

#include "gateway/internal/exchange.h"

// Continuation of a run on another target: a move when its target announces its
// shutdown, and a resume from the backup when its target fails without notice.
namespace wist {
namespace {

// Targets announce their shutdown at most this long in advance.
constexpr milliseconds kMaxMoveDuration{8000};

// Maximum number of continuations of one run. The limit is high because a move
// follows an announced shutdown, which the run itself does not cause.
constexpr int kMaxResumes = 12;

// Maximum number of unannounced target failures that one run may survive. The
// request itself may be what crashes its targets.
constexpr int kMaxBackupResumes = 2;

// A receiver that has begun to leave may be sent runs for a second or two. The
// source is stopped in less time than this unless the process was paused.
constexpr milliseconds kMaxDecisionAge{500};

// Runs expected to finish sooner are not backed up.
constexpr milliseconds kMinBackedUpDuration{1500};

}  // namespace

void exchange::OnTargetLeaving(const target_id& target) {
  if (finished_ || !attempt_ || attempt_->target.id != target || mover_ ||
      !CanMove())
    return;
  // A run that has not started yet has no KV cache to copy.
  if (attempt_->classification.kind == response_kind::success &&
      stream_started_)
    return StartMove();
  move_pending_ = true;
}

bool exchange::CanMove() const {
  if (Route().kind != call_kind::streaming || !request_.generation)
    return false;
  const routed_service* service = routed_.table->FindService(routed_.service);
  return service && service->engine && service->engine->can_move_runs;
}

void exchange::StartMove() {
  const timestamp now = services_.scheduler.Now();
  move_pending_ = false;
  mover_ = std::make_shared<run_mover>(
      services_, request_.id, attempt_->target, SelectionRequest(),
      std::min(routed_.deadline, now + kMaxMoveDuration),
      [weak = weak_from_this()](std::optional<moved_run> moved) {
        if (const auto self = weak.lock())
          self->OnMoveEnd(std::move(moved));
      });
  mover_->Start();
}

void exchange::OnMoveEnd(std::optional<moved_run> moved) {
  mover_.reset();
  if (finished_ || !moved)
    return;
  // The receiver recomputes what was generated after the copy.
  attempt_->call->Cancel();
  ResumeAfterStop(run_end::cancelled, *moved);
}

// Not every target drops a run when its connection closes.
void exchange::ResumeAfterStop(run_end end, const moved_run& moved) {
  may_have_run_ = true;
  splitter_.DropPartial();
  const target_entry source = attempt_->target;
  EndAttempt(end);
  const auto stopper = std::make_shared<run_stopper>(
      services_, request_.id, source, moved.receiver.address,
      moved.kv_cache.handle,
      [weak = weak_from_this(), moved,
       send_deadline = services_.scheduler.Now() + kMaxDecisionAge] {
        if (const auto self = weak.lock())
          self->Resume(moved, send_deadline);
      });
  stopper->Start();
}

// The receiver accepted runs when it was chosen. One that has begun to leave
// since then is still used until `send_deadline`, and the run moves on from it.
void exchange::Resume(const moved_run& moved, timestamp send_deadline) {
  if (finished_)
    return;
  const bool is_late = services_.scheduler.Now() >= send_deadline;
  if (is_late && !services_.AcceptsRun(moved.receiver.id))
    return AbortStream("receiver_left");
  if (++resume_count_ > kMaxResumes)
    return AbortStream("too_many_resumes");
  Send(moved.receiver, moved.kv_cache);
}

// The KV caches of long runs are copied to a backup target while they grow, so
// that the runs survive an engine crash and a network partition between failure
// domains.
void exchange::AssignBackup(target_dispatch& dispatch) {
  const routed_service* service = routed_.table->FindService(routed_.service);
  const selection_request request = SelectionRequest();
  if (!service || !service->engine || !service->engine->can_back_up_runs ||
      !request.size ||
      kAssumedTimePerToken * request.size->expected_output_tokens <
          kMinBackedUpDuration)
    return;
  const timestamp now = services_.scheduler.Now();
  const auto holder =
      services_.selector.ChooseBackup(dispatch.target.id, request, now);
  const known_target* target =
      holder ? services_.directory.Find(*holder) : nullptr;
  if (!target)
    return;
  dispatch.backup_address = target->entry.address;
  attempt_->backup_target = target->entry;
  attempt_->backup_run =
      services_.selector.BeginBackup(target->entry.id, request, now);
}

// Returns whether the run continues from its backup.
bool exchange::ResumeFromBackup() {
  if (!attempt_->backup_target || backup_resume_count_ >= kMaxBackupResumes ||
      IsQuarantined())
    return false;
  if (!services_.AcceptsRun(attempt_->backup_target->id))
    return false;
  const known_target* holder =
      services_.directory.Find(attempt_->backup_target->id);
  // The handle of a backup is the id of its request.
  const moved_run copy{holder->entry, {holder->entry.address, request_.id}};
  services_.logger.Write(log_level::info, "resume_from_backup",
                         {{"request_id", request_.id},
                          {"from", attempt_->target.id.text()},
                          {"receiver", holder->entry.id.text()},
                          {"events", splitter_.event_count()}});
  ++backup_resume_count_;
  if (mover_)
    std::exchange(mover_, nullptr)->Cancel();
  ResumeAfterStop(run_end::broken, copy);
  return true;
}

}  // namespace wist
