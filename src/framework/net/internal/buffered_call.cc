#include "framework/net/buffered_call.h"

#include <exception>
#include <utility>

namespace wist {

std::shared_ptr<buffered_call> buffered_call::Start(
    i_http_caller& caller,
    i_scheduler& scheduler,
    const http_address& address,
    std::string request,
    const buffered_call_limits& limits,
    done_handler on_done) {
  const auto self = std::make_shared<buffered_call>();
  self->on_done_ = std::move(on_done);
  const timestamp now = scheduler.Now();
  self->timer_ = scheduler.RunAt(now + limits.response, [self] {
    std::exchange(self->call_, nullptr)->Cancel();
    self->Finish(std::nullopt);
  });
  call_callbacks callbacks;
  callbacks.on_head = [self](const http_response_head& head) {
    self->response_.head = head;
  };
  callbacks.on_body = [self](std::string bytes) {
    self->response_.body += bytes;
  };
  callbacks.on_done = [self](call_outcome outcome) {
    self->call_.reset();
    self->has_failed_to_connect_ = outcome.end == call_end::connect_failed;
    if (outcome.end != call_end::complete)
      return self->Finish(std::nullopt);
    self->Finish(std::move(self->response_));
  };
  self->call_ = caller.Call(address, std::move(request),
                            {now + limits.connect, limits.max_idle,
                             limits.max_body_bytes, limits.label},
                            std::move(callbacks));
  return self;
}

void buffered_call::Cancel() {
  on_done_ = nullptr;
  timer_.reset();
  if (call_)
    std::exchange(call_, nullptr)->Cancel();
}

void buffered_call::Finish(std::optional<buffered_response> response) {
  timer_.reset();
  const auto on_done = std::exchange(on_done_, nullptr);
  if (!on_done)
    return;
  if (!response)
    return on_done(std::nullopt);
  // Without an outcome, the handler would wait for ever and no longer follow
  // what it reads.
  try {
    on_done(std::move(response));
  } catch (const std::exception&) {
    on_done(std::nullopt);
    throw;
  }
}

}  // namespace wist
