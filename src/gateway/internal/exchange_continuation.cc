#include <utility>

#include "gateway/internal/exchange.h"

// Continuation of a run on another target: a move when its target announces its
// shutdown, and a resume from the backup when its target fails without notice.
// Both tell the source to stop the run, and then try the copies of the run
// until one is accepted.
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

// A receiver that has begun to leave may be sent runs for a second or two.
constexpr milliseconds kMaxDecisionAge{500};

// A source that neither sends events nor responds for this long, once it was
// told to stop the run, is not waited for: it stops a run before it copies the
// rest, and its response may wait behind other copies.
constexpr milliseconds kMaxStopSilence{100};

// Runs expected to finish sooner are not backed up.
constexpr milliseconds kMinBackedUpDuration{1500};

}  // namespace

void exchange::OnTargetLeaving(const target_id& target) {
  if (finished_ || !attempt_ || attempt_->target.id != target ||
      attempt_->mover || IsWaitingForStop() || !CanMove())
    return;
  // A run that has not started yet has no KV cache to copy.
  if (attempt_->first_event_at)
    return StartMove();
  attempt_->move_pending = true;
}

bool exchange::CanMove() const {
  if (Route().kind != call_kind::streaming || !request_.generation)
    return false;
  const routed_service* service = routed_.table->FindService(routed_.service);
  return service && service->engine && service->engine->can_move_runs;
}

void exchange::StartMove() {
  const timestamp now = services_.scheduler.Now();
  attempt_->move_pending = false;
  const auto mover = std::make_shared<run_mover>(
      services_, request_.id, attempt_->target, SelectionRequest(),
      std::min(routed_.deadline, now + kMaxMoveDuration),
      [weak = weak_from_this()](std::optional<moved_run> moved) {
        if (const auto self = weak.lock())
          self->OnMoveEnd(std::move(moved));
      });
  attempt_->mover = mover;
  mover->Start();
}

void exchange::OnMoveEnd(std::optional<moved_run> moved) {
  attempt_->mover.reset();
  if (!moved)
    return;
  const target_entry source = attempt_->target;
  const auto backup = attempt_->backup_target;
  // The end of the channel would not tell whether such a stream is complete.
  if (attempt_->head.EndsWithChannel()) {
    attempt_->call->Cancel();
    EndAttempt(run_end::cancelled);
  }
  StartHandover(source,
                {copy_place::receiver, moved->receiver, moved->kv_cache});
  if (backup) {
    handover_->continuation.AddCopy(
        {copy_place::backup, *backup, {backup->address, request_.id}});
  }
}

// Not every target drops a run when its connection closes, and one that does
// could not continue the run if nobody else does. The connection therefore
// stays open, and events are forwarded, until the target has stopped the run.
void exchange::StartHandover(const target_entry& source, const run_copy& copy) {
  EndHandover();
  const int number = ++handover_count_;
  handover_.emplace(number, run_continuation(source, copy));
  if (services_.versions)
    handover_->open_run = services_.versions->BeginRun(source);
  handover_->decision_deadline = services_.scheduler.Now() + kMaxDecisionAge;
  handover_->stopper = std::make_shared<run_stopper>(
      services_, request_.id, source, copy.holder.address,
      [weak = weak_from_this(), number](const stop_result& result) {
        const auto self = weak.lock();
        return self && self->OnStopResult(number, result);
      },
      [weak = weak_from_this(), number] {
        if (const auto self = weak.lock())
          self->OnStopEnd(number);
      });
  handover_->stopper->Start();
  ArmStopTimer();
}

void exchange::ArmStopTimer(milliseconds delay) {
  const timestamp deadline =
      services_.scheduler.Now() + delay + kMaxStopSilence;
  handover_->stop_timer = services_.scheduler.RunAt(
      deadline,
      [self = shared_from_this(), deadline] { self->OnStopTimer(deadline); });
}

// The stop is not confirmed. The stopper goes on requesting it.
void exchange::OnStopTimer(timestamp deadline) {
  if (!IsWaitingForStop())
    return;
  // While the process stands still, it does not send the request.
  const bool was_paused =
      services_.scheduler.Now() >= deadline + kMaxStopSilence / 2;
  if (was_paused && !std::exchange(handover_->was_extended, true))
    return ArmStopTimer();
  TakeFromSource();
}

// Returns whether the run may need the copy that the result names.
bool exchange::OnStopResult(int number, const stop_result& result) {
  if (finished_ || !handover_ || handover_->number != number)
    return false;
  handover_->continuation.OnStopResult(result);
  handover_->last_stop_outcome = result.outcome;
  if (handover_->was_sent) {
    // All copies known before were refused.
    if (!attempt_)
      ContinueRun();
    return true;
  }
  switch (result.outcome) {
    case stop_outcome::copied:
    case stop_outcome::kept:
      TakeFromSource();
      break;
    case stop_outcome::had_ended:
      // The end of the response may still be on its way.
      if (!attempt_)
        TakeFromSource();
      break;
    case stop_outcome::refused:
      // The silence counts from the next request.
      if (attempt_)
        ArmStopTimer(kStopRetryInterval);
      break;
    case stop_outcome::unreachable:
      if (!attempt_)
        TakeFromSource();
      break;
    case stop_outcome::broken:
      break;
  }
  return true;
}

void exchange::OnStopEnd(int number) {
  if (finished_ || !handover_ || handover_->number != number)
    return;
  handover_->continuation.OnStopEnd();
  if (handover_->was_sent && !attempt_)
    return ContinueRun();
  // A run whose source refuses to stop it is taken only when its stream ends.
  if (IsWaitingForStop() && attempt_ &&
      handover_->last_stop_outcome == stop_outcome::refused) {
    handover_->stays_at_source = true;
    handover_->stop_timer.reset();
  }
}

// The source has closed the connection of a run that it was told to stop.
void exchange::OnSourceEnded() {
  EndAttempt(run_end::cancelled);
  ContinueRun();
}

void exchange::TakeFromSource() {
  if (attempt_) {
    attempt_->call->Cancel();
    EndAttempt(run_end::cancelled);
  }
  ContinueRun();
}

// A receiver accepted runs when it was chosen. One that has begun to leave
// since then is still used for a short time, and the run moves on from it.
bool exchange::MayUse(const run_copy& copy) const {
  if (handover_->broken_targets.contains(copy.holder.id))
    return false;
  // A run that no other target takes goes on at its source in any version.
  if (copy.place != copy_place::source && !MayUseVersion(copy.holder.version))
    return false;
  switch (copy.place) {
    case copy_place::receiver:
      return services_.scheduler.Now() < handover_->decision_deadline ||
             services_.AcceptsRun(copy.holder.id);
    case copy_place::backup:
      return services_.AcceptsRun(copy.holder.id);
    case copy_place::source:
      return services_.AcceptsReturn(copy.holder.id);
  }
  return false;
}

void exchange::ContinueRun() {
  may_have_run_ = true;
  handover_->was_sent = true;
  handover_->stop_timer.reset();
  struct step_visitor {
    exchange& self;
    void operator()(const continue_from_copy& step) const {
      self.ContinueFrom(step.copy);
    }
    void operator()(const await_stop&) const {}
    void operator()(const give_up_run&) const {
      self.AbortStream(self.handover_->failure);
    }
  };
  std::visit(step_visitor{*this},
             handover_->continuation.Next(
                 [this](const run_copy& copy) { return MayUse(copy); }));
}

void exchange::ContinueFrom(const run_copy& copy) {
  if (++resume_count_ > kMaxResumes)
    return AbortStream("too_many_resumes");
  services_.logger.Write(log_level::info, "run_continues",
                         {{"request_id", request_.id},
                          {"target", copy.holder.id.text()},
                          {"place", std::string(CopyPlaceName(copy.place))},
                          {"events", sent_events_.count}});
  Send(copy.holder, copy.kv_cache);
}

// The target to which the run was sent does not work on it.
void exchange::OnCopyUnusable(const std::string& reason) {
  if (!handover_)
    return AbortStream(reason);
  handover_->failure = reason;
  ContinueRun();
}

void exchange::EndHandover() {
  if (!handover_)
    return;
  const run_handover ended = std::move(*handover_);
  handover_.reset();
  ended.stopper->Detach(ended.continuation.HandleInUse());
  for (const unused_copy& copy : ended.continuation.UnusedCopies())
    ReleaseCopy(services_, copy);
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

// The target to which the run was sent broke off before its first event. Other
// copies of the run may be held still. Returns whether the run continues from
// one, or has been given up.
bool exchange::ResumeFromOtherCopy() {
  if (!handover_ || backup_resume_count_ >= kMaxBackupResumes ||
      IsQuarantined())
    return false;
  ++backup_resume_count_;
  const target_entry broken = attempt_->target;
  if (const auto& backup = attempt_->backup_target) {
    handover_->continuation.AddCopy(
        {copy_place::backup, *backup, {backup->address, request_.id}});
  }
  EndAttempt(run_end::broken);
  // It may work on the run still. The copy that the stop makes is freed.
  const run_continuation& run = handover_->continuation;
  const target_entry& other =
      broken.id == run.source().id ? run.receiver() : run.source();
  std::make_shared<run_stopper>(services_, request_.id, broken, other.address,
                                nullptr, nullptr)
      ->Start();
  handover_->broken_targets.insert(broken.id);
  handover_->failure = "target_ended_stream";
  ContinueRun();
  return true;
}

// Returns whether the run continues from its backup.
bool exchange::ResumeFromBackup() {
  if (!attempt_->backup_target || backup_resume_count_ >= kMaxBackupResumes ||
      IsQuarantined())
    return false;
  if (!services_.AcceptsRun(attempt_->backup_target->id) ||
      !MayUseVersion(attempt_->backup_target->version))
    return false;
  const known_target* holder =
      services_.directory.Find(attempt_->backup_target->id);
  // The handle of a backup is the id of its request.
  const run_copy copy{
      copy_place::backup, holder->entry, {holder->entry.address, request_.id}};
  services_.logger.Write(log_level::info, "resume_from_backup",
                         {{"request_id", request_.id},
                          {"from", attempt_->target.id.text()},
                          {"receiver", holder->entry.id.text()},
                          {"events", sent_events_.count}});
  ++backup_resume_count_;
  const target_entry source = attempt_->target;
  EndAttempt(run_end::broken);
  StartHandover(source, copy);
  return true;
}

// Returns whether the stream continues with a new run after its last event.
bool exchange::ResumeWithNewRun() {
  // An empty id resets the one from which a stream can be resumed.
  if (handover_ || !Route().may_resume_stream ||
      sent_events_.last_id.value_or("").empty() || !TryConsumeRetry())
    return false;
  services_.logger.Write(log_level::info, "resume_with_new_run",
                         {{"request_id", request_.id},
                          {"from", attempt_->target.id.text()},
                          {"events", sent_events_.count}});
  ++resume_count_;
  RetryOnAnotherTarget(run_end::broken);
  return true;
}

}  // namespace wist
