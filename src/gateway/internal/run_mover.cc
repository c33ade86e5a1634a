#include "gateway/internal/run_mover.h"

#include <utility>

namespace wist {
namespace {

// Maximum number of copy requests for one run. Limits the load on a source
// whose receivers all refuse the copy.
constexpr int kMaxCopyRequests = 16;

// Delay before the next attempt if the source has not begun the run yet or no
// receiver has room. Engines free memory several times a second, and a shutdown
// is announced only a second or two in advance.
constexpr milliseconds kRetryInterval{60};

constexpr milliseconds kConnectTimeout{300};

// Responses to copy requests carry no id, so that an earlier response that is
// repeated on a connection in use again could not be distinguished from them.
constexpr milliseconds kMaxIdle{0};

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

}  // namespace

run_mover::run_mover(gateway_services& services,
                     std::string request_id,
                     target_entry source,
                     selection_request request,
                     timestamp deadline,
                     completion_handler on_complete)
    : services_(services),
      request_id_(std::move(request_id)),
      source_(std::move(source)),
      request_(std::move(request)),
      deadline_(deadline),
      on_complete_(std::move(on_complete)) {
  request_.continues_run = true;
}

void run_mover::Start() {
  ChooseReceiver();
}

void run_mover::Cancel() {
  on_complete_ = nullptr;
  if (call_)
    std::exchange(call_, nullptr)->Cancel();
  Finish(std::nullopt);
}

void run_mover::ChooseReceiver() {
  selection_request request = request_;
  request.excluded.insert(full_receivers_.begin(), full_receivers_.end());
  const selection chosen = services_.Choose(
      std::move(request),
      services_.VersionConstraints(request_.service, request_id_), &source_.id);
  const auto* id = std::get_if<target_id>(&chosen);
  const known_target* target = id ? services_.directory.Find(*id) : nullptr;
  if (!target) {
    Log("no_receiver");
    full_receivers_.clear();
    return ScheduleRetry();
  }
  receiver_ = target->entry;
  RequestCopy();
}

void run_mover::RequestCopy() {
  const timestamp now = services_.scheduler.Now();
  if (++copy_request_count_ > kMaxCopyRequests || now >= deadline_)
    return Finish(std::nullopt);
  // The copy uses memory of the receiver from now on, so the load is reported
  // to the other instances.
  reservation_ = services_.selector.BeginRun(receiver_->id, request_, now);
  services_.on_load_change();
  call_ = buffered_call::Start(
      services_.caller, services_.scheduler, source_.address,
      services_.dialect.EncodeMoveRequest(source_,
                                          {request_id_, receiver_->address}),
      {kConnectTimeout,
       std::chrono::duration_cast<milliseconds>(deadline_ - now),
       kMaxIdle,
       kMaxMoveResponseBytes,
       {source_.id.text(), request_id_}},
      [self = shared_from_this()](std::optional<buffered_response> response) {
        self->call_.reset();
        if (response) {
          self->services_.OnTargetSignals(
              self->source_,
              self->services_.dialect.DecodeSignals(response->head),
              self->request_id_);
          return self->OnMoveResponse(
              self->services_.dialect.DecodeMoveResponse(response->head.status,
                                                         response->body));
        }
        // The run goes on at its source.
        self->Log("broken");
        self->EndReservation();
        self->ScheduleRetry();
      });
}

void run_mover::OnMoveResponse(const move_response& response) {
  Log(std::to_string(response.status));
  const bool is_copied = response.status == kOk && !response.handle.empty();
  if (is_copied && services_.AcceptsRun(receiver_->id))
    return Finish(moved_run{*receiver_, {source_.address, response.handle}});
  EndReservation();
  if (response.status == kNotFound || response.status == kConflict)
    return ScheduleRetry();
  // The receiver has no room, or it has begun to leave during the copy.
  if (is_copied)
    Log("receiver_left");
  full_receivers_.insert(receiver_->id);
  ChooseReceiver();
}

void run_mover::ScheduleRetry() {
  const timestamp now = services_.scheduler.Now();
  if (now >= deadline_ || !on_complete_)
    return Finish(std::nullopt);
  timer_ = services_.scheduler.RunAt(
      now + kRetryInterval,
      [self = shared_from_this()] { self->ChooseReceiver(); });
}

void run_mover::EndReservation() {
  if (!reservation_)
    return;
  services_.selector.EndRun(*std::exchange(reservation_, std::nullopt),
                            run_end::cancelled, services_.scheduler.Now());
  services_.on_load_change();
}

void run_mover::Finish(std::optional<moved_run> moved) {
  timer_.reset();
  EndReservation();
  const auto on_complete = std::exchange(on_complete_, nullptr);
  if (!on_complete)
    return;
  services_.metrics.OnMove(moved ? "moved" : "failed");
  on_complete(std::move(moved));
}

// Skips an outcome that repeats the previous one for the same receiver.
void run_mover::Log(const std::string& outcome) {
  const std::string line = outcome + (receiver_ ? receiver_->id.text() : "");
  if (std::exchange(last_logged_, line) == line)
    return;
  services_.logger.Write(
      log_level::info, "move",
      {{"request_id", request_id_},
       {"from", source_.id.text()},
       {"receiver", receiver_ ? receiver_->id.text() : ""},
       {"orders", static_cast<std::int64_t>(copy_request_count_)},
       {"outcome", outcome}});
}

}  // namespace wist
