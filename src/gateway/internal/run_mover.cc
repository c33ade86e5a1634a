#include "gateway/internal/run_mover.h"

#include <utility>

namespace wist {
namespace {

// Copies ordered for one run at the most: bounds the load on a source whose
// receivers all refuse.
constexpr int kMaxOrders = 16;

// Pause before a run that is not there yet, or a service without room, is asked
// again: engines free memory several times a second, and a notice lasts for a
// second or two.
constexpr milliseconds kTryPause{60};

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
      on_done_(std::move(on_done)) {
  request_.continues_run = true;
}

void run_mover::Start() {
  ChooseReceiver();
}

void run_mover::Cancel() {
  on_done_ = nullptr;
  if (call_)
    std::exchange(call_, nullptr)->Cancel();
  Done(std::nullopt);
}

void run_mover::ChooseReceiver() {
  const timestamp now = services_.scheduler.Now();
  selection_request request = request_;
  request.excluded.insert(full_.begin(), full_.end());
  const selection chosen =
      services_.selector.ChooseReceiver(source_.id, request, now);
  const auto* id = std::get_if<target_id>(&chosen);
  const known_target* target = id ? services_.directory.Find(*id) : nullptr;
  if (!target) {
    Log("no_receiver");
    full_.clear();
    return TryAgainLater();
  }
  receiver_ = target->entry;
  OrderCopy();
}

void run_mover::OrderCopy() {
  const timestamp now = services_.scheduler.Now();
  if (++orders_ > kMaxOrders || now >= deadline_)
    return Done(std::nullopt);
  // The copy takes room from now on, so the other instances hear of it.
  reserved_ = services_.selector.Begin(receiver_->id, request_, now);
  services_.on_load_change();
  call_ = whole_call::Start(
      services_.caller, services_.scheduler, source_.address,
      services_.dialect.EncodeMove(source_, {request_id_, receiver_->address}),
      {kConnectLimit, std::chrono::duration_cast<milliseconds>(deadline_ - now),
       kMaxIdle},
      [self = shared_from_this()](std::optional<whole_answer> answer) {
        self->call_.reset();
        if (answer) {
          return self->OnAnswer(
              self->services_.dialect.DecodeMove(answer->status, answer->body));
        }
        self->Log("broken");
        self->Done(std::nullopt);
      });
}

void run_mover::OnAnswer(const move_answer& answer) {
  Log(std::to_string(answer.status));
  if (answer.status == kOk)
    return Done(moved_run{*receiver_, {source_.address, answer.handle}});
  services_.selector.End(*std::exchange(reserved_, std::nullopt),
                         run_end::withdrawn, services_.scheduler.Now());
  if (answer.status == kNoSuchRun || answer.status == kBusy)
    return TryAgainLater();
  full_.insert(receiver_->id);
  ChooseReceiver();
}

void run_mover::TryAgainLater() {
  const timestamp now = services_.scheduler.Now();
  if (now >= deadline_)
    return Done(std::nullopt);
  timer_ = services_.scheduler.RunAt(
      now + kTryPause, [self = shared_from_this()] { self->ChooseReceiver(); });
}

void run_mover::Done(std::optional<moved_run> moved) {
  timer_.reset();
  if (reserved_) {
    services_.selector.End(*std::exchange(reserved_, std::nullopt),
                           run_end::withdrawn, services_.scheduler.Now());
    services_.on_load_change();
  }
  const auto on_done = std::exchange(on_done_, nullptr);
  if (!on_done)
    return;
  services_.metrics.OnMove(moved ? "moved" : "failed");
  on_done(std::move(moved));
}

// The same outcome again and again is one line.
void run_mover::Log(const std::string& outcome) {
  const std::string line = outcome + (receiver_ ? receiver_->id.text() : "");
  if (std::exchange(logged_outcome_, line) == line)
    return;
  services_.logger.Write(log_level::info, "move",
                         {{"request_id", request_id_},
                          {"from", source_.id.text()},
                          {"receiver", receiver_ ? receiver_->id.text() : ""},
                          {"orders", static_cast<std::int64_t>(orders_)},
                          {"outcome", outcome}});
}

}  // namespace wist
