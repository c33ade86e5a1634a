#include "entry/internal/deferred_canceller.h"

namespace wist {
namespace {

// Callers on phones come back within this time, at any instance.
constexpr milliseconds kReturnLimit{2000};
constexpr milliseconds kPause{100};
constexpr milliseconds kCallLimit{1000};

}  // namespace

deferred_canceller::deferred_canceller(std::shared_ptr<i_http_client> client,
                                       std::shared_ptr<const i_clock> clock)
    : client_(std::move(client)),
      clock_(std::move(clock)),
      thread_(kPause, [this] { CancelDue(); }) {}

void deferred_canceller::CancelLater(const target_spec& target,
                                     const std::string& generation) {
  std::lock_guard lock(mutex_);
  waiting_.push_back({target, generation, clock_->Now() + kReturnLimit});
}

void deferred_canceller::CancelDue() {
  for (;;) {
    due_cancel due;
    {
      std::lock_guard lock(mutex_);
      if (waiting_.empty() || waiting_.front().due_at > clock_->Now())
        return;
      due = waiting_.front();
      waiting_.pop_front();
    }
    Cancel(due);
  }
}

void deferred_canceller::Cancel(const due_cancel& due) {
  http_request request{.method = "DELETE"};
  // The caller may have come back at another instance, which reads it now.
  request.path = "/v1/generations/" + due.generation + "?unless_read=true";
  try {
    client_->Call({due.target.host, due.target.port}, request,
                  clock_->Now() + kCallLimit);
  } catch (const http_error&) {
    // The target ends a generation without a reader by itself.
  }
}

}  // namespace wist
