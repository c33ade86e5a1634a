#include <utility>

#include "gateway/internal/exchange.h"

// How an exchange's run goes on at another target: ordered moves at a notice,
// and copies for ends without one.
namespace wist {
namespace {

// The word of a target on its own leaving comes this long before its end at
// the most.
constexpr milliseconds kMoveLimit{8000};

// Notices that one run may outlive: each move was ordered, so it does no harm.
constexpr int kMaxResumes = 12;

// Ends without notice that one run may outlive. A request may be what ends its
// targets, so it gets no more of them.
constexpr int kMaxBackupResumes = 2;

// Runs that are expected to end sooner are not copied.
constexpr milliseconds kMinBackedUp{1500};

}  // namespace

void exchange::OnTargetLeaves(const target_id& target) {
  if (over_ || !attempt_ || attempt_->target.id != target || mover_)
    return;
  if (Route().kind != call_kind::streaming || !request_.generation)
    return;
  const routed_service* service = routed_.table->FindService(routed_.service);
  if (!service || !service->engine || !service->engine->can_move_runs)
    return;
  // A run that has not begun has no memory to copy yet.
  if (attempt_->facts.kind == answer_kind::success && streaming_)
    return BeginMove();
  move_wanted_ = true;
}

void exchange::BeginMove() {
  const timestamp now = services_.scheduler.Now();
  move_wanted_ = false;
  mover_ = std::make_shared<run_mover>(
      services_, request_.id, attempt_->target, SelectionRequest(),
      std::min(routed_.deadline, now + kMoveLimit),
      [weak = weak_from_this()](std::optional<moved_run> moved) {
        if (const auto self = weak.lock())
          self->OnMoved(std::move(moved));
      });
  mover_->Start();
}

void exchange::OnMoved(std::optional<moved_run> moved) {
  mover_.reset();
  if (over_ || !moved)
    return;
  // The target drops the run when its channel closes, so that no two targets
  // work on it; what came since the copy is read again at the receiver.
  attempt_->call->Cancel();
  splitter_.DropPartial();
  EndAttempt(run_end::withdrawn);
  Resume(*moved);
}

void exchange::Resume(const moved_run& moved) {
  may_have_run_ = true;
  if (++resumes_ > kMaxResumes)
    return BreakStream("target_ended_stream");
  Send(moved.receiver, moved.memory);
}

// Long runs are copied as they grow, so that they survive an engine that ends
// without notice and a cut between failure domains.
void exchange::AddBackup(target_dispatch& dispatch) {
  const routed_service* service = routed_.table->FindService(routed_.service);
  const selection_request wanted = SelectionRequest();
  if (!service || !service->engine || !service->engine->can_back_up_runs ||
      !wanted.size ||
      kAssumedTokenTime * wanted.size->expected_output_tokens < kMinBackedUp)
    return;
  const timestamp now = services_.scheduler.Now();
  const auto holder =
      services_.selector.ChooseBackup(dispatch.target.id, wanted, now);
  const known_target* target =
      holder ? services_.directory.Find(*holder) : nullptr;
  if (!target)
    return;
  dispatch.backup = target->entry.address;
  attempt_->backup = target->entry;
  attempt_->backup_copy =
      services_.selector.BeginCopy(target->entry.id, wanted, now);
}

// Returns whether the run goes on from its copy.
bool exchange::ResumeFromBackup() {
  if (!attempt_->backup || backup_resumes_ >= kMaxBackupResumes ||
      IsQuarantined())
    return false;
  const known_target* holder = services_.directory.Find(attempt_->backup->id);
  if (!holder || !services_.directory.Takes(*holder))
    return false;
  // The run's copy bears the id of its request.
  const moved_run copy{holder->entry, {holder->entry.address, request_.id}};
  services_.logger.Write(log_level::info, "resume_from_backup",
                         {{"request_id", request_.id},
                          {"from", attempt_->target.id.text()},
                          {"receiver", holder->entry.id.text()},
                          {"events", splitter_.events()}});
  ++backup_resumes_;
  splitter_.DropPartial();
  if (mover_)
    std::exchange(mover_, nullptr)->Cancel();
  EndAttempt(run_end::broken);
  Resume(copy);
  return true;
}

}  // namespace wist
