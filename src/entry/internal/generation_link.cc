#include "entry/internal/generation_link.h"

#include <fmt/format.h>

#include <thread>

namespace wist {
namespace {

// A link without a token for this long is opened again.
constexpr milliseconds kStallLimit{3000};

// A generation that cannot be reached for this long is given up.
constexpr milliseconds kResumeLimit{10'000};
constexpr milliseconds kResumePause{200};
constexpr milliseconds kHeaderLimit{2000};

constexpr int kGone = 410;
constexpr int kOk = 200;

// Attempts to reach a target that breaks each connection at once, before it
// counts as crashed.
constexpr int kBrokenAttempts = 3;

}  // namespace

generation_link::generation_link(i_http_client& client,
                                 const i_clock& clock,
                                 const target_spec& target,
                                 const std::string& generation,
                                 stream_format format)
    : client_(client),
      clock_(clock),
      target_(target),
      generation_(generation),
      format_(format) {}

void generation_link::Start(const http_request& request,
                            timestamp header_deadline) {
  try {
    stream_ = client_.Open({target_.host, target_.port}, request,
                           header_deadline, kStallLimit);
  } catch (const http_error& error) {
    if (!error.may_have_left())
      throw generation_lost(false, false, error.what());
    // It may have started: find it by its name.
    Reopen();
    return;
  }
  if (stream_->status() != kOk)
    throw generation_lost(
        false, false,
        fmt::format("the target refused with {}", stream_->status()));
  reader_.emplace(*stream_, offset_);
}

void generation_link::ResumeAt(std::int64_t offset) {
  offset_ = offset;
  Reopen();
}

stream_event generation_link::Next() {
  for (;;) {
    if (auto event = TryNext())
      return *event;
    Reopen();
  }
}

std::optional<stream_event> generation_link::TryNext() {
  try {
    auto event = reader_->Next();
    if (event && std::holds_alternative<token_event>(*event))
      ++offset_;
    return event;
  } catch (const http_error&) {
    return std::nullopt;
  } catch (const stream_protocol_error& error) {
    throw generation_lost(true, false, error.what());
  }
}

void generation_link::Reopen() {
  const timestamp give_up_at = clock_.Now() + kResumeLimit;
  http_request request;
  request.path =
      fmt::format("/v1/generations/{}?from={}&as={}", generation_, offset_,
                  format_ == stream_format::chat ? "chat" : "completions");
  int broken = 0;
  while (clock_.Now() < give_up_at) {
    Drop();
    try {
      stream_ = client_.Open({target_.host, target_.port}, request,
                             clock_.Now() + kHeaderLimit, kStallLimit);
      if (stream_->status() == kGone)
        throw generation_lost(true, true, "the target lost the generation");
      if (stream_->status() == kOk) {
        reader_.emplace(*stream_, offset_);
        return;
      }
    } catch (const http_error& error) {
      if (!error.timed_out() && ++broken >= kBrokenAttempts)
        throw generation_lost(true, true, error.what());
    }
    std::this_thread::sleep_for(kResumePause);
  }
  throw generation_lost(true, false, "the target cannot be reached");
}

void generation_link::Drop() {
  reader_.reset();
  stream_.reset();
}

}  // namespace wist
