#include "entry/internal/token_sink.h"

#include <nlohmann/json.hpp>

#include "entry/internal/error_response.h"
#include "streams/event_reader.h"
#include "streams/resume_token.h"

namespace wist {
namespace {

constexpr std::size_t kMaxBufferedBytes = 4 << 20;

}  // namespace

void streaming_sink::BeginStreamIfNeeded(const resume_point& generation) {
  if (responder_->HasStarted())
    return;
  responder_->BeginStream(200,
                          {{"X-Request-Id", request_id_},
                           {"X-Generation-Id", generation.generation},
                           {"Cache-Control", "no-store"}},
                          "text/event-stream");
}

void streaming_sink::WriteToken(const resume_point& generation,
                                const token_event& token) {
  BeginStreamIfNeeded(generation);
  resume_point next = generation;
  next.offset = token.offset + 1;
  std::string event = "id: ";
  event += EncodeResumeToken(*keys_, next);
  event += "\ndata: ";
  event += token.data;
  event += "\n\n";
  responder_->Write(event);
}

void streaming_sink::Finish(const resume_point& generation) {
  BeginStreamIfNeeded(generation);
  responder_->Write("data: [DONE]\n\n");
}

void streaming_sink::Fail(const request_error& error) {
  responder_->Write(ErrorEvent(error));
}

void buffered_sink::WriteToken(const resume_point& generation,
                               const token_event& token) {
  text_ += TokenText(token.data, generation.format);
  ++tokens_;
  if (text_.size() > kMaxBufferedBytes)
    throw request_error(
        error_code::target_failed, run_verdict::may_have_run,
        "response is longer than 4 MiB; request it as a stream");
}

void buffered_sink::Finish(const resume_point& generation) {
  nlohmann::json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (generation.format == stream_format::chat)
    choice["message"] = {{"role", "assistant"}, {"content", text_}};
  else
    choice["text"] = text_;
  const nlohmann::json body = {{"id", generation.generation},
                               {"choices", nlohmann::json::array({choice})},
                               {"usage", {{"completion_tokens", tokens_}}}};
  responder_->Send({200, {{"X-Request-Id", request_id_}}, body.dump()},
                   "application/json");
}

void buffered_sink::Fail(const request_error& error) {
  throw error;
}

}  // namespace wist
