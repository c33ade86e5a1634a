#include <algorithm>
#include <array>
#include <exception>

#include "gateway/internal/exchange.h"

// Requests that are sent through another instance, because this one has no path
// to the targets. The other instance handles them like those of its own
// callers.
namespace wist {
namespace {

// Connecting takes one round trip.
constexpr milliseconds kRelayConnectTimeout{300};

// Each request is sent on a new connection: one that the other instance is
// closing would leave it unknown whether the request ran.
constexpr milliseconds kMaxIdleRelay{0};

// Maximum number of instances to which a request is sent. All but the last one
// stated that they did not run it, or were not reached.
constexpr std::size_t kMaxRelays = 3;

// An instance without a response for this long has probably failed.
constexpr milliseconds kSilentRelayTime{1000};

constexpr int kServiceUnavailable = 503;

// Statuses that promise that the request did not run.
constexpr std::array<int, 4> kNotRunStatuses = {408, 421, 429,
                                                kServiceUnavailable};

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Whether the instance refuses a request that another one may serve.
bool IsRefusedByInstance(const http_response_head& head) {
  return head.status == kServiceUnavailable &&
         !head.Header(kTryOtherInstanceHeader).empty();
}

}  // namespace

// Whether the request is sent to a target although the paths to the targets
// count as lost. One that may have run on a target can't be relayed.
bool exchange::MayTryDirectly(bool others_accept) {
  if (may_have_run_)
    return true;
  return !request_.is_relayed && dispatch_count_ == 0 &&
         connect_failure_count_ == 0 &&
         services_.paths.TryConsumeDirectTry(services_.scheduler.Now(),
                                             others_accept);
}

bool exchange::TryRelay() {
  if (request_.is_relayed || may_have_run_ || stream_started_ ||
      relay_instances_.size() >= kMaxRelays)
    return false;
  const timestamp now = services_.scheduler.Now();
  // A service without capacity here has none for other instances either.
  if ((!services_.paths.IsLost() && connect_failure_count_ == 0) ||
      !services_.paths.IsSuspected(now) || TimeLeft(now) <= milliseconds(0))
    return false;
  const auto instance = services_.relays.Choose(
      request_.id, {relay_instances_.begin(), relay_instances_.end()}, now);
  if (!instance)
    return false;
  SendRelay(*instance);
  return true;
}

void exchange::SendRelay(const known_instance& instance) {
  const timestamp now = services_.scheduler.Now();
  capacity_timer_.reset();
  relay_instances_.push_back(instance.name);
  relay_.emplace();
  relay_->instance = instance.name;
  relay_->sent_at = now;
  services_.relays.OnStart(instance.name);

  const auto self = shared_from_this();
  const std::size_t number = relay_instances_.size();
  const auto is_current = [self, number] {
    return self->relay_ && self->relay_instances_.size() == number;
  };
  call_callbacks callbacks;
  callbacks.on_head = [self, is_current](const http_response_head& head) {
    if (is_current())
      self->OnRelayHead(head);
  };
  callbacks.on_body = [self, is_current](const std::string& bytes) {
    if (is_current())
      self->OnRelayBody(bytes);
  };
  callbacks.on_done = [self, is_current](call_outcome outcome) {
    if (!is_current())
      return;
    try {
      self->OnRelayEnd(outcome);
    } catch (const std::exception&) {
      self->OnInternalError();
      throw;
    }
  };
  relay_->call = services_.caller.Call(
      {instance.address.host, instance.relay_port},
      services_.dialect.EncodeRelay(request_, TimeLeft(now),
                                    services_.latest_configuration.version()),
      {std::min(routed_.deadline, now + kRelayConnectTimeout),
       kMaxIdleRelay,
       http_reader_limits::kUnlimitedBody,
       {instance.name, request_.id}},
      std::move(callbacks));
}

void exchange::OnRelayHead(const http_response_head& head) {
  services_.relays.OnReceived(relay_->instance, services_.scheduler.Now());
  services_.OnRelayedSignals(
      target_id(std::string(head.Header(kRespondingTargetHeader))),
      services_.dialect.DecodeSignals(head), request_.id);
  relay_->head = head;
  // The caller gets nothing of a refusal: the request goes on elsewhere.
  relay_->is_buffered =
      IsRefusedByInstance(head) || request_.message.method == "HEAD" ||
      !StatusPermitsBody(head.status) || !head.Header("Content-Length").empty();
}

void exchange::OnRelayBody(const std::string& bytes) {
  services_.relays.OnReceived(relay_->instance, services_.scheduler.Now());
  if (relay_->is_buffered) {
    relay_->body += bytes;
    if (!relay_->buffer) {
      relay_->buffer = services_.buffers.AddGrowing(
          relay_->instance,
          [weak = weak_from_this(), number = relay_instances_.size()] {
            const auto self = weak.lock();
            if (self && self->relay_ && self->relay_instances_.size() == number)
              self->OnRelayBroken();
          });
    }
    if (relay_->buffer->SetBytes(relay_->body.capacity()) &&
        relay_->body.size() > kMaxBufferedResponseBytes)
      OnRelayBroken();
    return;
  }
  if (!stream_started_) {
    stream_started_ = true;
    services_.metrics.OnFirstByte(CallKindName(Route().kind),
                                  services_.scheduler.Now() - received_at_);
    response_writer_->StartStream(EncodeChunkedResponseHead(
        relay_->head->status, services_.dialect.CallerHeaders(*relay_->head)));
  }
  if (!finished_)
    response_writer_->AppendToStream(EncodeChunk(bytes));
}

void exchange::OnRelayEnd(call_outcome outcome) {
  const timestamp now = services_.scheduler.Now();
  if (outcome.end != call_end::complete) {
    // An instance that ends a stream may have lost its target only.
    if (!relay_->head)
      services_.relays.OnFailure(relay_->instance, now);
    return outcome.may_have_been_sent ? OnRelayBroken() : OnRelayRejected();
  }
  if (IsRefusedByInstance(*relay_->head)) {
    services_.relays.OnRefusal(relay_->instance, now);
    return OnRelayRejected();
  }
  services_.relays.OnResponse(relay_->instance);
  ForwardRelayedResponse();
}

void exchange::OnRelayRejected() {
  EndRelay("rejected");
  if (services_.RelaysRequests())
    return Dispatch();
  RefuseOverloaded(services_.selector.RetryAfter(SelectionRequest(),
                                                 services_.scheduler.Now()));
}

// The other instance may have dispatched the request.
void exchange::OnRelayBroken() {
  relay_->call->Cancel();
  EndRelay("broken");
  may_have_run_ = true;
  Refuse(error_code::target_failed, run_verdict::may_have_run);
}

void exchange::ForwardRelayedResponse() {
  const int status = relay_->head->status;
  if (relay_->is_buffered) {
    std::string bytes = EncodeResponse(*relay_->head, relay_->body);
    EndRelay("answered");
    services_.metrics.OnFirstByte(CallKindName(Route().kind),
                                  services_.scheduler.Now() - received_at_);
    response_writer_->Send(std::move(bytes));
  } else {
    if (!stream_started_) {
      response_writer_->StartStream(EncodeChunkedResponseHead(
          status, services_.dialect.CallerHeaders(*relay_->head)));
      // The memory for what the caller has not read may be used up.
      if (finished_)
        return;
    }
    EndRelay("answered");
    response_writer_->FinishStream(std::string(LastChunk()));
  }
  if (IsSuccess(status))
    return Finish("answered", "relayed", run_verdict::ran);
  const bool is_not_run =
      std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
      kNotRunStatuses.end();
  Finish(is_not_run ? "refused" : "target_failure", "relayed",
         is_not_run ? run_verdict::not_run : run_verdict::may_have_run);
}

void exchange::EndRelay(const std::string& outcome) {
  if (!relay_)
    return;
  services_.metrics.OnRelay(outcome);
  services_.relays.OnEnd(relay_->instance);
  relay_.reset();
}

bool exchange::MayHaveBeenSent() const {
  return (attempt_ && attempt_->call && attempt_->call->MayHaveBeenSent()) ||
         (relay_ && relay_->call && relay_->call->MayHaveBeenSent());
}

void exchange::CancelCalls() {
  if (attempt_ && attempt_->call)
    attempt_->call->Cancel();
  if (!relay_)
    return;
  const timestamp now = services_.scheduler.Now();
  if (relay_->call)
    relay_->call->Cancel();
  if (!relay_->head && now >= relay_->sent_at + kSilentRelayTime)
    services_.relays.OnSilence(relay_->instance, relay_->sent_at, now);
  EndRelay("cancelled");
}

// Whether the refusal of a relayed request has a cause that other instances do
// not share.
bool exchange::IsRefusedByInstanceOnly(error_code code) const {
  return request_.is_relayed &&
         (code == error_code::not_ready || code == error_code::stopping ||
          (code == error_code::overloaded &&
           (services_.paths.IsLost() || connect_failure_count_ > 0)));
}

}  // namespace wist
