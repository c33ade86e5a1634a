#include "entry/internal/generation_stream.h"

#include <fmt/format.h>

#include <thread>

namespace wist {
namespace {

// A connection that delivers nothing for this long is reopened.
constexpr milliseconds kIdleTimeout{3000};

// A generation counts as lost after its target was unreachable for this long.
constexpr milliseconds kReconnectTimeout{10'000};
constexpr milliseconds kReconnectInterval{200};
constexpr milliseconds kHeaderTimeout{2000};

constexpr int kHttpGone = 410;
constexpr int kHttpOk = 200;

// The target counts as crashed after this many connection failures, other than
// time-outs, within one call of Reconnect.
constexpr int kMaxConnectionFailures = 3;

// The generation counts as lost after this many responses in a row that are
// invalid or end without a further event.
constexpr int kMaxBrokenResponses = 5;

}  // namespace

generation_stream::generation_stream(i_http_client& client,
                                     const i_clock& clock,
                                     const target_spec& target,
                                     const std::string& generation,
                                     const std::string& request_id,
                                     stream_format format)
    : client_(client),
      clock_(clock),
      target_(target),
      generation_(generation),
      label_{target.id.text(), request_id},
      format_(format) {}

void generation_stream::Start(http_request request, timestamp header_deadline) {
  request.label = label_;
  try {
    stream_ = client_.Open({target_.host, target_.port}, request,
                           header_deadline, kIdleTimeout);
  } catch (const http_error& error) {
    if (!error.may_have_been_sent())
      throw generation_lost(false, false, error.what());
    // The request may have reached the target: look the generation up by its
    // id.
    Reconnect();
    return;
  }
  if (stream_->status() != kHttpOk)
    throw generation_lost(
        false, false,
        fmt::format("target rejected the generation with HTTP status {}",
                    stream_->status()));
  reader_.emplace(*stream_, offset_);
}

void generation_stream::ResumeAt(std::int64_t offset) {
  offset_ = offset;
  Reconnect();
}

stream_event generation_stream::Next() {
  for (;;) {
    if (auto event = TryReadEvent()) {
      broken_responses_ = 0;
      return *event;
    }
    Reconnect();
  }
}

std::optional<stream_event> generation_stream::TryReadEvent() {
  try {
    auto event = reader_->Next();
    if (!event)
      OnBrokenResponse("response ended without its last event");
    if (event && std::holds_alternative<token_event>(*event))
      ++offset_;
    return event;
  } catch (const http_error& error) {
    // A target that has no event yet stalls.
    if (!error.timed_out())
      OnBrokenResponse(error.what());
    return std::nullopt;
  } catch (const stream_protocol_error& error) {
    throw generation_lost(true, false, error.what());
  }
}

// A target that sends bytes has not crashed. The first reconnection follows at
// once, so that a connection that broke once causes no pause.
void generation_stream::OnBrokenResponse(const std::string& text) {
  if (++broken_responses_ >= kMaxBrokenResponses)
    throw generation_lost(true, false, text);
  if (broken_responses_ > 1)
    std::this_thread::sleep_for(kReconnectInterval);
}

void generation_stream::Reconnect() {
  const timestamp reconnect_deadline = clock_.Now() + kReconnectTimeout;
  http_request request{.label = label_};
  request.path =
      fmt::format("/v1/generations/{}?from={}&as={}", generation_, offset_,
                  format_ == stream_format::chat ? "chat" : "completions");
  int connection_failures = 0;
  while (clock_.Now() < reconnect_deadline) {
    Close();
    try {
      stream_ = client_.Open({target_.host, target_.port}, request,
                             clock_.Now() + kHeaderTimeout, kIdleTimeout);
      if (stream_->status() == kHttpGone)
        throw generation_lost(true, true,
                              "target no longer has the generation");
      if (stream_->status() == kHttpOk) {
        reader_.emplace(*stream_, offset_);
        return;
      }
    } catch (const http_error& error) {
      if (error.is_invalid_response())
        OnBrokenResponse(error.what());
      else if (!error.timed_out() &&
               ++connection_failures >= kMaxConnectionFailures)
        throw generation_lost(true, true, error.what());
    }
    std::this_thread::sleep_for(kReconnectInterval);
  }
  throw generation_lost(true, false,
                        "target did not resume the generation within 10 s");
}

void generation_stream::Close() {
  reader_.reset();
  stream_.reset();
}

}  // namespace wist
