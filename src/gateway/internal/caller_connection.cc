#include "gateway/internal/caller_connection.h"

#include <algorithm>

namespace wist {
namespace {

// A caller that doesn't read its stream is disconnected when more than this
// many bytes are unsent.
constexpr std::size_t kMaxUnsentBytes = 1'048'576;

// Maximum size of the pipelined requests buffered for a caller.
constexpr std::size_t kMaxPipelinedBytes = 262'144;

// Pipelined bytes that are held without a claim.
constexpr std::size_t kUnclaimedPipelinedBytes = 4096;

// What has arrived of a request without a stated length is claimed in steps,
// so that not every read needs a decision.
constexpr std::size_t kClaimStepBytes = 16'384;

// A refused caller may retry on another instance, or here once slow requests
// have made room.
constexpr milliseconds kNoRoomRetryAfter{500};

// The head of a relayed request may exceed the limit for callers by the headers
// that the other instance adds.
constexpr std::size_t kRelayHeadBytes = 1024;

constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

std::size_t RoundUpToStep(std::size_t bytes) {
  return (bytes / kClaimStepBytes + 1) * kClaimStepBytes;
}

}  // namespace

caller_connection::caller_connection(gateway_services& services,
                                     std::shared_ptr<i_channel> channel,
                                     end_handler on_end,
                                     bool is_relay)
    : services_(services),
      channel_(std::move(channel)),
      on_end_(std::move(on_end)),
      is_relay_(is_relay) {}

caller_limits caller_connection::Limits() const {
  const auto table = services_.latest_configuration.table();
  return table ? table->configuration().limits : caller_limits{};
}

http_reader_limits caller_connection::ReaderLimits() const {
  const caller_limits limits = Limits();
  return {static_cast<std::size_t>(limits.max_header_bytes) +
              (is_relay_ ? kRelayHeadBytes : 0),
          static_cast<std::size_t>(limits.max_body_bytes)};
}

void caller_connection::Start() {
  reader_ = MakeHttpRequestReader(ReaderLimits());
  const auto self = shared_from_this();
  channel_->SetCallbacks(
      {[self](std::string_view bytes) { self->OnData(bytes); },
       [self](channel_end) { self->OnChannelEnd(); }});
  ArmTimer();
}

void caller_connection::StartDraining() {
  draining_ = true;
}

void caller_connection::CloseIfIdle() {
  if (!exchange_ && channel_ && !reader_->HasPartialRequest())
    CloseChannel();
}

void caller_connection::OnStopDeadline() {
  const auto current = exchange_;
  if (current)
    current->OnStopDeadline();
}

void caller_connection::OnTargetLeaving(const target_id& target) {
  const auto current = exchange_;
  if (current)
    current->OnTargetLeaving(target);
}

void caller_connection::OnVersionsChanged() {
  const auto current = exchange_;
  if (current)
    current->OnVersionsChanged();
}

void caller_connection::OnCrashesChanged() {
  const auto current = exchange_;
  if (current)
    current->OnCrashesChanged();
}

void caller_connection::OnData(std::string_view bytes) {
  const auto self = shared_from_this();
  has_received_ = true;
  reader_->SetLimits(ReaderLimits());
  reader_->Feed(bytes);
  if (!exchange_)
    return ReadNext();
  const std::size_t pipelined_bytes = reader_->BufferedBytes();
  if (pipelined_bytes <= kUnclaimedPipelinedBytes ||
      (pipelined_bytes <= kMaxPipelinedBytes &&
       buffer_->Claim(request_bytes_ + RoundUpToStep(pipelined_bytes))))
    return;
  services_.logger.Write(log_level::warning, "too_many_pipelined_bytes", {});
  aborted_ = true;
  const auto current = exchange_;
  current->OnCallerGone();
}

void caller_connection::ReadNext() {
  while (!exchange_ && channel_) {
    auto message = reader_->Next();
    if (const auto error = reader_->read_error())
      return RefuseMalformed(*error);
    if (!message) {
      if (HoldPartialRequest())
        ArmTimer();
      return;
    }
    timer_.reset();
    has_sent_continue_ = false;
    if (!HoldCompleteRequest(*message))
      return;
    StartExchange(std::move(*message));
  }
}

void caller_connection::StartExchange(http_request_message message) {
  keep_alive_ = message.keep_alive;
  is_head_request_ = message.method == "HEAD";
  auto decoded = services_.dialect.DecodeRequest(std::move(message));
  if (const auto* code = std::get_if<error_code>(&decoded)) {
    keep_alive_ = false;
    channel_->Write(services_.dialect.EncodeRefusal(
        "", {*code, run_verdict::not_run, std::nullopt}, false));
    return CloseChannel();
  }
  auto& request = std::get<caller_request>(decoded);
  request.is_relayed = is_relay_;
  if (!is_relay_)
    request.minimum_configuration = 0;
  const auto self = shared_from_this();
  exchange_ =
      std::make_shared<exchange>(services_, std::move(request), *this,
                                 [self] { self->OnExchangeFinished(); });
  const auto started = exchange_;
  started->Start();
}

bool caller_connection::HoldPartialRequest() {
  const std::size_t held_bytes = reader_->HeldBytes();
  if (!reader_->HasPartialRequest()) {
    buffer_.reset();
    request_bytes_ = 0;
    return true;
  }
  if (!buffer_) {
    receiving_since_ = services_.scheduler.Now();
    buffer_ = services_.requests.Add([weak = weak_from_this()] {
      if (const auto self = weak.lock(); self && self->channel_)
        self->RefuseUnheld(self->PartialRequestId());
    });
  }
  buffer_->OnReceived(held_bytes);
  // A stated length is at most max_body_bytes, otherwise reading has failed.
  const auto stated_bytes = reader_->StatedBodyBytes();
  // The buffers of what is still growing may be twice as large as that.
  const std::size_t needed =
      RequestMemoryBytes(stated_bytes ? static_cast<std::size_t>(*stated_bytes)
                                      : RoundUpToStep(held_bytes));
  if (needed > request_bytes_) {
    if (!buffer_->Claim(needed)) {
      RefuseUnheld(PartialRequestId());
      return false;
    }
    request_bytes_ = needed;
  }
  if (!has_sent_continue_ && reader_->ExpectsContinue()) {
    has_sent_continue_ = true;
    channel_->Write(kContinueResponse);
  }
  return true;
}

bool caller_connection::HoldCompleteRequest(http_request_message& message) {
  if (!buffer_)
    buffer_ = services_.requests.Add([] {});
  buffer_->OnComplete();
  request_bytes_ = RequestMemoryBytes(message.body.size());
  if (buffer_->Claim(request_bytes_))
    return true;
  std::string().swap(message.body);
  auto decoded = services_.dialect.DecodeRequest(std::move(message));
  const auto* request = std::get_if<caller_request>(&decoded);
  RefuseUnheld(request ? request->id : "");
  return false;
}

// The request has not run, and never will.
void caller_connection::RefuseUnheld(const std::string& request_id) {
  channel_->Write(services_.dialect.EncodeRefusal(
      request_id,
      {error_code::overloaded, run_verdict::not_run, kNoRoomRetryAfter,
       is_relay_},
      false));
  CloseChannel();
}

std::string caller_connection::PartialRequestId() const {
  if (!reader_->IsHeadComplete())
    return "";
  auto decoded = services_.dialect.DecodeRequest(reader_->PartialRequest());
  const auto* request = std::get_if<caller_request>(&decoded);
  return request ? request->id : "";
}

connection_progress caller_connection::Progress() const {
  const connection_phase phase = exchange_        ? connection_phase::responding
                                 : !has_received_ ? connection_phase::silent
                                 : reader_->HasPartialRequest()
                                     ? connection_phase::receiving
                                     : connection_phase::idle;
  return {phase, phase == connection_phase::receiving ? receiving_since_
                                                      : waiting_since_};
}

void caller_connection::MakeRoom() {
  if (channel_)
    AbortChannel();
}

void caller_connection::RefuseMalformed(http_read_error error) {
  const error_code code = error == http_read_error::body_too_large
                              ? error_code::body_too_large
                          : error == http_read_error::header_too_large
                              ? error_code::header_too_large
                              : error_code::bad_request;
  services_.logger.Write(log_level::info, "unreadable_request",
                         {{"reason", std::string(ErrorCodeName(code))}});
  channel_->Write(services_.dialect.EncodeRefusal(
      "", {code, run_verdict::not_run, std::nullopt}, false));
  CloseChannel();
}

void caller_connection::OnExchangeFinished() {
  exchange_.reset();
  // What is pipelined is claimed again when it is read.
  buffer_.reset();
  request_bytes_ = 0;
  if (!channel_)
    return;
  if (aborted_)
    return AbortChannel();
  if (!KeepsConnection())
    return CloseChannel();
  // The next request starts from the event loop: a direct call would recurse
  // once for each request of a caller that pipelines many of them.
  timer_ = services_.scheduler.RunAt(services_.scheduler.Now(),
                                     [self = shared_from_this()] {
                                       if (!self->exchange_ && self->channel_)
                                         self->ReadNext();
                                     });
}

void caller_connection::OnChannelEnd() {
  const auto self = shared_from_this();
  channel_.reset();
  timer_.reset();
  if (const auto current = exchange_)
    current->OnCallerGone();
  if (on_end_)
    std::exchange(on_end_, nullptr)(this);
}

void caller_connection::ArmTimer() {
  // The timeout for a head counts from its first byte, so that a caller that
  // sends single bytes can't keep a connection open forever.
  if (timer_ && awaiting_head_ && reader_->HasPartialRequest() &&
      !reader_->IsHeadComplete())
    return;
  awaiting_head_ = reader_->HasPartialRequest() && !reader_->IsHeadComplete();
  waiting_since_ = services_.scheduler.Now();
  ScheduleTimer();
}

timestamp caller_connection::WaitDeadline() const {
  const caller_limits limits = Limits();
  return waiting_since_ + (reader_->HasPartialRequest() ? limits.header_timeout
                                                        : limits.idle_timeout);
}

void caller_connection::ScheduleTimer() {
  timer_ = services_.scheduler.RunAt(
      WaitDeadline(), [self = shared_from_this()] { self->OnTimer(); });
}

void caller_connection::OnTimer() {
  if (exchange_ || !channel_)
    return;
  // A later configuration may have raised the limit.
  if (services_.scheduler.Now() < WaitDeadline())
    return ScheduleTimer();
  if (reader_->HasPartialRequest()) {
    channel_->Write(services_.dialect.EncodeRefusal(
        "", {error_code::request_timeout, run_verdict::not_run, std::nullopt},
        false));
  }
  CloseChannel();
}

void caller_connection::AbortChannel() {
  timer_.reset();
  std::exchange(channel_, nullptr)->Abort();
  if (on_end_)
    std::exchange(on_end_, nullptr)(this);
}

void caller_connection::CloseChannel() {
  timer_.reset();
  std::exchange(channel_, nullptr)->Close();
  if (on_end_)
    std::exchange(on_end_, nullptr)(this);
}

bool caller_connection::KeepsConnection() const {
  return keep_alive_ && !draining_;
}

void caller_connection::Send(std::string bytes) {
  if (!channel_)
    return;
  channel_->Write(is_head_request_ ? WithoutBody(std::move(bytes))
                                   : std::move(bytes));
  if (channel_->UnsentBytes() == 0)
    return;
  services_.buffers.AddUnsent(channel_, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->DisconnectSlowCaller();
  });
}

void caller_connection::StartStream(std::string head) {
  Send(std::move(head));
}

void caller_connection::AppendToStream(std::string bytes) {
  Send(std::move(bytes));
  if (!channel_ || channel_->UnsentBytes() <= kMaxUnsentBytes)
    return;
  DisconnectSlowCaller();
}

void caller_connection::DisconnectSlowCaller() {
  if (!channel_)
    return;
  const auto self = shared_from_this();
  services_.logger.Write(
      log_level::warning, "slow_caller",
      {{"unsent_bytes", static_cast<std::int64_t>(channel_->UnsentBytes())}});
  aborted_ = true;
  if (const auto current = exchange_)
    return current->OnCallerGone();
  AbortChannel();
}

void caller_connection::FinishStream(std::string bytes) {
  Send(std::move(bytes));
}

void caller_connection::Abort() {
  aborted_ = true;
}

}  // namespace wist
