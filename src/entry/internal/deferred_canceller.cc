#include "entry/internal/deferred_canceller.h"

namespace wist {
namespace {

// Callers on mobile networks that lose their connection reconnect to some
// instance within this time.
constexpr milliseconds kReconnectTimeout{2000};
constexpr milliseconds kPollInterval{100};
constexpr milliseconds kCallTimeout{1000};

}  // namespace

deferred_canceller::deferred_canceller(std::shared_ptr<i_http_client> client,
                                       std::shared_ptr<const i_clock> clock)
    : client_(std::move(client)),
      clock_(std::move(clock)),
      thread_(kPollInterval, [this] { CancelDue(); }) {}

void deferred_canceller::ScheduleCancel(const target_spec& target,
                                        const std::string& generation) {
  std::lock_guard lock(mutex_);
  scheduled_.push_back({target, generation, clock_->Now() + kReconnectTimeout});
}

void deferred_canceller::CancelDue() {
  for (;;) {
    scheduled_cancel cancel;
    {
      std::lock_guard lock(mutex_);
      if (scheduled_.empty() || scheduled_.front().due_at > clock_->Now())
        return;
      cancel = scheduled_.front();
      scheduled_.pop_front();
    }
    Cancel(cancel);
  }
}

void deferred_canceller::Cancel(const scheduled_cancel& cancel) {
  http_request request{.method = "DELETE",
                       .label = {cancel.target.id.text(), ""}};
  // The caller may have reconnected to another instance, which then reads the
  // generation: `unless_read` makes the target keep it in that case.
  request.path = "/v1/generations/" + cancel.generation + "?unless_read=true";
  try {
    client_->Call({cancel.target.host, cancel.target.port}, request,
                  clock_->Now() + kCallTimeout);
  } catch (const http_error&) {
    // A lost cancellation is harmless: the target ends a generation without a
    // reader by itself.
  }
}

}  // namespace wist
