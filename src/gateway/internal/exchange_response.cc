#include <algorithm>
#include <charconv>

#include "gateway/internal/exchange.h"

// The response of a target on its way to the caller: streams are forwarded
// event by event, other responses once they are complete.
namespace wist {
namespace {

constexpr int kNoContent = 204;

// Appends `bytes` to `body` without reserving more than the stated length, or
// twice what has arrived.
void AppendToBody(std::string_view bytes,
                  const http_response_head& head,
                  std::string& body) {
  const std::size_t size = body.size() + bytes.size();
  if (size > body.capacity()) {
    std::size_t capacity = std::max(size, 2 * body.capacity());
    const std::string_view length = head.Header("Content-Length");
    std::size_t stated = 0;
    std::from_chars(length.data(), length.data() + length.size(), stated);
    if (stated >= size)
      capacity = std::min(capacity, stated);
    body.reserve(capacity);
  }
  body += bytes;
}

}  // namespace

void exchange::OnHead(const http_response_head& head) {
  attempt_->classification = services_.dialect.ClassifyResponse(head);
  attempt_->head = head;
  services_.OnTargetSignals(attempt_->target,
                            services_.dialect.DecodeSignals(head), request_.id);
}

void exchange::OnBody(std::string bytes) {
  const bool is_stream =
      attempt_->classification.kind == response_kind::success &&
      attempt_->classification.is_event_stream;
  if (!is_stream) {
    AppendToBody(bytes, attempt_->head, attempt_->body);
    if (!HoldBytes(attempt_->body.capacity()) ||
        attempt_->body.size() <= kMaxBufferedResponseBytes)
      return;
    return OnInvalidBody("body_size");
  }
  event_batch events = attempt_->splitter.Feed(bytes);
  if (attempt_->splitter.IsTooLong())
    return OnInvalidBody("event_size");
  if (attempt_->splitter.HasStatusLine() || HasSecondResponse(events.text))
    return OnInvalidBody("surplus_bytes");
  if (!FollowsSentEvents(events))
    return OnInvalidBody("event_order");
  if (!HoldBytes(attempt_->splitter.partial_bytes()))
    return;
  if (events.text.empty())
    return;
  attempt_->has_event_id =
      attempt_->has_event_id || events.first_id.has_value();
  sent_events_.count += events.count;
  if (events.last_id)
    sent_events_.last_id = std::move(events.last_id);
  services_.selector.OnFirstOutput(attempt_->run, services_.scheduler.Now());
  RecordEventTimes();
  RecordResponse();
  RecordOutput();
  if (handover_ && handover_->was_sent)
    EndHandover();
  else if (handover_ && !handover_->stays_at_source)
    ArmStopTimer();
  if (attempt_->move_pending && !attempt_->mover)
    StartMove();
  if (!stream_started_) {
    stream_started_ = true;
    const std::vector<http_header> headers = ResponseHeaders(attempt_->head);
    services_.metrics.OnFirstByte(CallKindName(Route().kind),
                                  services_.scheduler.Now() - received_at_);
    response_writer_->StartStream(
        EncodeChunkedResponseHead(attempt_->head.status, headers));
  }
  if (!finished_)
    response_writer_->AppendToStream(EncodeChunk(events.text));
}

// Whether a run that goes on at another target does so after the last event
// that the caller was sent.
bool exchange::FollowsSentEvents(const event_batch& events) const {
  return attempt_->has_event_id || !events.first_id || !sent_events_.last_id ||
         IsLaterEventId(*events.first_id, *sent_events_.last_id);
}

void exchange::OnInvalidBody(const std::string& rule) {
  services_.on_invalid_response(
      {{attempt_->target.id.text(), request_.id}, rule});
  attempt_->call->Cancel();
  OnFailure(run_end::broken);
}

// Returns false if the response was cancelled, which has ended the attempt.
bool exchange::HoldBytes(std::size_t bytes) {
  if (!attempt_->buffer) {
    if (bytes == 0)
      return true;
    attempt_->buffer = services_.buffers.AddGrowing(
        attempt_->target.id.text(),
        [weak = weak_from_this(), run = attempt_->run] {
          const auto self = weak.lock();
          if (self && self->attempt_ && self->attempt_->run == run)
            self->OnResponseGivenUp();
        });
  }
  return attempt_->buffer->SetBytes(bytes);
}

// The instance holds more than it has memory for.
void exchange::OnResponseGivenUp() {
  attempt_->counts = false;
  attempt_->call->Cancel();
  OnFailure(run_end::broken);
}

void exchange::RecordEventTimes() {
  const timestamp now = services_.scheduler.Now();
  if (!attempt_->first_event_at)
    attempt_->first_event_at = now;
  if (!first_sent_event_at_)
    first_sent_event_at_ = now;
  else
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  last_event_at_ = now;
}

// Whether a stream that seems complete has been broken off: in the middle of an
// event, with a response that is no stream or, where only the end of the
// channel ends it, before its target has sent an event.
bool exchange::IsStreamBrokenOff() const {
  if (stream_started_ && !attempt_->classification.is_event_stream)
    return true;
  const bool has_events = attempt_->splitter.event_count() > 0 && !handover_;
  return attempt_->splitter.HasPartial() ||
         (attempt_->classification.is_event_stream &&
          attempt_->head.EndsWithChannel() && !has_events);
}

// Whether the bytes have a response in them that names a request.
bool exchange::HasSecondResponse(std::string_view bytes) const {
  const auto heads = FindResponseHeads(bytes);
  return std::any_of(heads.begin(), heads.end(),
                     [this](const http_response_head& head) {
                       return services_.dialect.NamesRequest(head);
                     });
}

std::vector<http_header> exchange::ResponseHeaders(
    const http_response_head& head) const {
  auto headers = services_.dialect.CallerHeaders(head);
  if (request_.is_relayed && attempt_)
    headers.push_back({kRespondingTargetHeader, attempt_->target.id.text()});
  return headers;
}

std::string exchange::EncodeResponse(const http_response_head& head,
                                     const std::string& body) const {
  auto headers = ResponseHeaders(head);
  if (request_.message.method != "HEAD" && StatusPermitsBody(head.status))
    return EncodeHttpResponse(head.status, headers, body);
  // The length of the body that is left out.
  const std::string_view length = head.Header("Content-Length");
  if (!length.empty() && head.status != kNoContent)
    headers.push_back({"Content-Length", std::string(length)});
  return EncodeBodilessResponse(head.status, headers);
}

void exchange::ForwardResponse() {
  services_.selector.OnFirstOutput(attempt_->run, services_.scheduler.Now());
  const bool succeeded =
      attempt_->classification.kind == response_kind::success;
  // A target that reports a failure has not necessarily begun a response to the
  // prompt.
  services_.crashes.OnResponse(
      succeeded ? fingerprint_ : run_fingerprint{fingerprint_.request, {}},
      services_.scheduler.Now());
  if (stream_started_) {
    EndAttempt(run_end::completed);
    response_writer_->FinishStream(std::string(LastChunk()));
    return Finish("answered", "", run_verdict::ran);
  }
  std::string bytes = EncodeResponse(attempt_->head, attempt_->body);
  EndAttempt(succeeded ? run_end::completed : run_end::failed);
  services_.metrics.OnFirstByte(CallKindName(Route().kind),
                                services_.scheduler.Now() - received_at_);
  response_writer_->Send(std::move(bytes));
  Finish(succeeded ? "answered" : "target_failure", "", run_verdict::ran);
}

}  // namespace wist
