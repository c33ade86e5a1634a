#include "gateway/internal/run_mover.h"

namespace wist {
namespace {

// Receivers and repetitions tried for one run: each failed try costs a round
// trip out of the short notice.
constexpr int kMaxTries = 6;

// Pause before a run that is not there yet, or is busy, is asked for again.
constexpr milliseconds kTryPause{40};

constexpr milliseconds kConnectLimit{300};
constexpr milliseconds kMaxIdle{3000};

constexpr int kOk = 200;
constexpr int kNoSuchRun = 404;
constexpr int kBusy = 409;

}  // namespace

run_mover::run_mover(gateway_services& services,
                     std::string request_id,
                     target_entry source,
                     selection_request request,
                     timestamp deadline,
                     done_handler on_done)
    : services_(services),
      request_id_(std::move(request_id)),
      source_(std::move(source)),
      request_(std::move(request)),
      deadline_(deadline),
      on_done_(std::move(on_done)) {}

void run_mover::Start() {
  ChooseReceiver();
}

void run_mover::Cancel() {
  on_done_ = nullptr;
  timer_.reset();
  if (call_)
    std::exchange(call_, nullptr)->Cancel();
  if (handle_.empty())
    return;
  services_.caller.Call(
      source_.address, services_.dialect.EncodeHandleRelease(source_, handle_),
      {services_.scheduler.Now() + kConnectLimit, kMaxIdle}, {});
}

std::optional<moved_run> run_mover::Copied() const {
  if (!copied_ || !receiver_)
    return std::nullopt;
  return moved_run{*receiver_, {source_.address, handle_}};
}

void run_mover::ChooseReceiver() {
  const selection chosen = services_.selector.ChooseReceiver(
      source_.id, request_, services_.scheduler.Now());
  const auto* id = std::get_if<target_id>(&chosen);
  const known_target* target = id ? services_.directory.Find(*id) : nullptr;
  if (!target) {
    Log("choose", "no_receiver");
    return TryAgainLater();
  }
  receiver_ = target->entry;
  Order(stopping_);
}

void run_mover::Order(bool is_last) {
  if (++tries_ > kMaxTries || services_.scheduler.Now() >= deadline_)
    return Done(std::nullopt);
  stopping_ = stopping_ || is_last;
  status_ = 0;
  body_.clear();
  const auto self = shared_from_this();
  call_callbacks callbacks;
  callbacks.on_head = [self](const http_answer_head& head) {
    self->status_ = head.status;
  };
  callbacks.on_body = [self](std::string bytes) { self->body_ += bytes; };
  callbacks.on_done = [self, is_last](call_outcome outcome) {
    self->call_.reset();
    if (outcome.end != call_end::complete)
      return self->OnBrokenCall(is_last);
    self->OnAnswer(is_last, self->services_.dialect.DecodeMove(self->status_,
                                                               self->body_));
  };
  call_ = services_.caller.Call(
      source_.address,
      services_.dialect.EncodeMove(source_,
                                   {request_id_, receiver_->address, is_last}),
      {services_.scheduler.Now() + kConnectLimit, kMaxIdle},
      std::move(callbacks));
}

void run_mover::OnAnswer(bool is_last, const move_answer& answer) {
  if (!answer.handle.empty())
    handle_ = answer.handle;
  Log(is_last ? "rest" : "copy", std::to_string(answer.status));
  if (answer.status == kOk) {
    copied_ = true;
    if (!is_last)
      return Order(true);
    return Done(moved_run{*receiver_, {source_.address, handle_}});
  }
  if (answer.status == kNoSuchRun || answer.status == kBusy) {
    // A stopped run is found by its handle only, so no further order helps.
    if (is_last && answer.status == kNoSuchRun)
      return Done(Copied());
    return TryAgainLater();
  }
  // What was copied before the run stopped is good to go on from.
  if (is_last && copied_)
    return Done(Copied());
  request_.excluded.insert(receiver_->id);
  ChooseReceiver();
}

void run_mover::OnBrokenCall(bool is_last) {
  Log(is_last ? "rest" : "copy", "broken");
  Done(Copied());
}

void run_mover::TryAgainLater() {
  if (++tries_ > kMaxTries || services_.scheduler.Now() >= deadline_)
    return Done(std::nullopt);
  timer_ = services_.scheduler.RunAt(
      services_.scheduler.Now() + kTryPause,
      [self = shared_from_this()] { self->ChooseReceiver(); });
}

void run_mover::Done(std::optional<moved_run> moved) {
  services_.metrics.OnMove(moved ? "moved" : "failed");
  const auto on_done = std::move(on_done_);
  on_done_ = nullptr;
  if (on_done)
    on_done(std::move(moved));
}

void run_mover::Log(const std::string& step, const std::string& outcome) {
  services_.logger.Write(log_level::info, "move",
                         {{"request_id", request_id_},
                          {"step", step},
                          {"from", source_.id.text()},
                          {"receiver", receiver_ ? receiver_->id.text() : ""},
                          {"outcome", outcome}});
}

}  // namespace wist
