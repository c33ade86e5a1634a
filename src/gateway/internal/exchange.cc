#include "gateway/internal/exchange.h"

#include <algorithm>
#include <exception>

namespace wist {
namespace {

// Connecting takes one round trip; a target that does not accept within this
// time is unreachable or overloaded.
constexpr milliseconds kConnectTimeout{300};

// The same while the paths to the targets count as lost, so that the request
// can still be served through another instance in time.
constexpr milliseconds kDirectTryConnectTimeout{150};

// Maximum idle time of a pooled connection that a request may reuse. A pooled
// connection may be dead without this instance knowing, and a request sent on
// it has to be treated as if it had run. Requests that must not be repeated
// therefore use only recently used connections. Generations always open a new
// one: if connecting fails, nothing was sent.
constexpr milliseconds kMaxIdleIdempotent{8000};
constexpr milliseconds kMaxIdleNonIdempotent{2500};
constexpr milliseconds kMaxIdleStreaming{0};

// Without an id, the response could not be told from an earlier one that is
// repeated on a connection in use again.
constexpr milliseconds kMaxIdleWithoutId{0};

milliseconds MaxIdle(call_kind kind, const std::string& request_id) {
  if (request_id.empty())
    return kMaxIdleWithoutId;
  switch (kind) {
    case call_kind::idempotent:
      return kMaxIdleIdempotent;
    case call_kind::non_idempotent:
      return kMaxIdleNonIdempotent;
    case call_kind::streaming:
      return kMaxIdleStreaming;
  }
  return kMaxIdleStreaming;
}

// Maximum number of dispatches of one request when the previous targets stated
// that they did not run it.
constexpr int kMaxDispatches = 4;

// Maximum number of targets that a request fails to connect to. A refused
// connection costs some milliseconds and no run, and many targets may have
// ended without notice; beyond kMaxDispatches it is tried only while there is
// time.
constexpr int kMaxConnectFailures = 12;
constexpr int kConnectTimeDivisor = 2;

// An idempotent request without a response after this multiple of its latency
// objective is retried on another target.
constexpr int kSlowAttemptObjectives = 2;

// A request waits at most its latency objective divided by this number for free
// capacity. Waiting longer would leave the caller too little time to retry.
constexpr int kCapacityWaitDivisor = 8;
constexpr milliseconds kCapacityPollInterval{20};

// The events of a stream are passed on as they arrive. A response on a
// streaming route that is no stream is bounded in OnBody.
std::size_t MaxBodyBytes(call_kind kind) {
  return kind == call_kind::streaming ? http_reader_limits::kUnlimitedBody
                                      : kMaxBufferedResponseBytes;
}

}  // namespace

exchange::exchange(gateway_services& services,
                   caller_request request,
                   i_response_writer& response_writer,
                   std::function<void()> on_finished)
    : services_(services),
      request_(std::move(request)),
      response_writer_(&response_writer),
      on_finished_(std::move(on_finished)),
      received_at_(services.scheduler.Now()),
      fingerprint_(FingerprintOf(request_)) {}

exchange::~exchange() = default;

void exchange::Start() {
  if (services_.latest_configuration.version() < request_.minimum_configuration)
    return Refuse(error_code::not_ready, run_verdict::not_run);
  auto routed = RouteRequest(services_, request_, received_at_);
  if (const auto* code = std::get_if<error_code>(&routed))
    return Refuse(*code, run_verdict::not_run);
  routed_ = std::move(std::get<routed_request>(routed));
  // The instance that dispatches the request counts it.
  if (!services_.RelaysRequests())
    services_.RetryBudgetOf(routed_.service).OnRequest(received_at_);
  deadline_timer_ = services_.scheduler.RunAt(
      routed_.deadline, [self = shared_from_this()] { self->OnDeadline(); });
  if (const auto refusing = FindQuarantine())
    return OnQuarantined(*refusing);
  Dispatch();
}

const route_spec& exchange::Route() const {
  return *routed_.match.route;
}

selection_request exchange::SelectionRequest() const {
  selection_request request;
  request.service = routed_.service;
  request.excluded = excluded_targets_;
  request.avoids_other_domains = failed_abroad_;
  request.is_suspect = is_trial_ || services_.crashes.IsSuspect(fingerprint_);
  request.size = ExpectedGenerationSize(request_);
  if (request_.generation)
    request.session = request_.generation->session;
  // Dispatch and moves try all constraints; the last one applies elsewhere.
  request.versions = VersionConstraints().back();
  if (Route().first_byte_objective > milliseconds(0))
    request.first_output_objective = Route().first_byte_objective;
  request.urgent_objective =
      routed_.table->UrgentObjective(routed_.service, Route());
  return request;
}

void exchange::Dispatch() {
  if (!MayBeDispatched()) {
    return Refuse(error_code::quarantined, may_have_run_
                                               ? run_verdict::may_have_run
                                               : run_verdict::not_run);
  }
  if (services_.RelaysRequests() && !is_direct_try_) {
    is_direct_try_ = MayTryDirectly(/*others_accept=*/true);
    if (!is_direct_try_ && TryRelay())
      return;
    is_direct_try_ = is_direct_try_ || MayTryDirectly(/*others_accept=*/false);
    if (!is_direct_try_)
      return RefuseOverloaded(services_.selector.RetryAfter(
          SelectionRequest(), services_.scheduler.Now()));
  }
  const selection chosen =
      services_.Choose(SelectionRequest(), VersionConstraints());
  if (const auto* error = std::get_if<selection_error>(&chosen))
    return WaitForCapacity(*error);
  const known_target* target =
      services_.directory.Find(std::get<target_id>(chosen));
  capacity_timer_.reset();
  Send(target->entry, std::nullopt);
}

void exchange::WaitForCapacity(const selection_error& error) {
  const timestamp now = services_.scheduler.Now();
  const timestamp wait_deadline =
      received_at_ + Route().first_byte_objective / kCapacityWaitDivisor;
  if (!error.targets_at_capacity || dispatch_count_ > 0 || is_direct_try_ ||
      now + kCapacityPollInterval >= wait_deadline)
    return RefuseOverloaded(error.retry_after);
  capacity_timer_ = services_.scheduler.RunAt(
      now + kCapacityPollInterval,
      [self = shared_from_this()] { self->Dispatch(); });
}

milliseconds exchange::TimeLeft(timestamp now) const {
  return std::chrono::duration_cast<milliseconds>(routed_.deadline - now);
}

void exchange::Send(const target_entry& target,
                    const std::optional<kv_cache_location>& kv_cache) {
  const timestamp now = services_.scheduler.Now();
  const milliseconds time_left = TimeLeft(now);
  if (time_left <= milliseconds(0))
    return OnDeadline();
  ++dispatch_count_;
  attempt_.emplace();
  attempt_->target = target;
  attempt_->sent_at = now;
  attempt_->is_timed = !kv_cache && IsTimed(target, now);
  if (services_.versions)
    attempt_->open_run = services_.versions->BeginRun(target);
  load_at_dispatch_ = services_.selector.TotalLoad(target.id);
  selection_request request = SelectionRequest();
  request.continues_run = kv_cache.has_value();
  attempt_->run = services_.selector.BeginRun(target.id, request, now);
  services_.on_load_change();
  target_dispatch dispatch;
  dispatch.target = target;
  dispatch.time_left = time_left;
  dispatch.priority = routed_.priority;
  dispatch.workspace = routed_.match.workspace
                           ? routed_.match.workspace->id.text()
                           : std::string();
  dispatch.kv_cache = kv_cache;
  dispatch.last_event_id = sent_events_.last_id.value_or("");
  AssignBackup(dispatch);
  const known_target* known = services_.directory.Find(target.id);
  attempt_->move_pending =
      ((known && known->leaving) || services_.IsBeingLeft(target)) && CanMove();

  const auto self = shared_from_this();
  const run_number run = attempt_->run;
  const auto is_current = [self, run] {
    return self->attempt_ && self->attempt_->run == run;
  };
  call_callbacks callbacks;
  callbacks.matches_call = [self](const http_response_head& head,
                                  bool may_be_old) {
    return self->services_.dialect.IsResponseTo(head, self->request_.id,
                                                may_be_old);
  };
  callbacks.on_head = [self, is_current](const http_response_head& head) {
    if (is_current())
      self->OnHead(head);
  };
  callbacks.on_body = [self, is_current](std::string bytes) {
    if (is_current())
      self->OnBody(std::move(bytes));
  };
  callbacks.on_done = [self, is_current](call_outcome outcome) {
    if (!is_current())
      return;
    try {
      self->OnCallEnd(outcome);
    } catch (const std::exception&) {
      self->OnInternalError();
      throw;
    }
  };
  // A repeated response to an earlier attempt has the same id. Another target
  // may have the same address.
  const bool is_new_address = used_addresses_.insert(target.address).second;
  callbacks.on_connected = [self, now] {
    self->services_.OnTargetConnected(now);
  };
  attempt_->call = services_.caller.Call(
      target.address, services_.dialect.EncodeDispatch(request_, dispatch),
      {std::min(
           routed_.deadline,
           now + (is_direct_try_ ? kDirectTryConnectTimeout : kConnectTimeout)),
       services_.paths.IsSuspected(now) || !is_new_address
           ? milliseconds(0)
           : MaxIdle(Route().kind, request_.id),
       MaxBodyBytes(Route().kind),
       {target.id.text(), request_.id}},
      std::move(callbacks));
  if (Route().kind != call_kind::idempotent)
    return;
  attempt_timer_ = services_.scheduler.RunAt(
      now + Route().first_byte_objective * kSlowAttemptObjectives,
      [self = shared_from_this()] { self->OnSlowAttempt(); });
}

// A response could not be processed. Only this request ends.
void exchange::OnInternalError() {
  if (finished_)
    return;
  CancelCalls();
  EndAttempt(run_end::broken);
  may_have_run_ = true;
  Refuse(error_code::internal, run_verdict::may_have_run);
}

bool exchange::IsRepeatable() const {
  return Route().kind == call_kind::idempotent || Route().may_resume_stream;
}

bool exchange::MayRetry() const {
  return IsRepeatable() && run_count_ + 1 < Route().max_attempts &&
         dispatch_count_ < kMaxDispatches && !IsQuarantined();
}

void exchange::OnCallEnd(call_outcome outcome) {
  const bool connected = outcome.end != call_end::connect_failed;
  if (!connected || !outcome.may_have_been_sent) {
    // If the border of the domain is cut, the targets behind it appear idle,
    // and further attempts there would fail as well.
    failed_abroad_ =
        failed_abroad_ || attempt_->target.domain != services_.settings.domain;
    // A target may reset connections that it has no room for.
    if (!connected)
      services_.OnTargetUnreachable(attempt_->target, attempt_->sent_at);
    EndAttempt(run_end::unreachable);
    if (stream_started_ && (handover_ || !IsRepeatable()))
      return OnCopyUnusable("receiver_unreachable");
    return OnRejected(/*reached_target=*/false);
  }
  if (outcome.end == call_end::broken && IsWaitingForStop())
    return OnSourceEnded();
  if (outcome.end != call_end::complete)
    return OnFailure(run_end::broken);
  OnResponseComplete();
}

void exchange::OnResponseComplete() {
  const response_classification classification = attempt_->classification;
  if (classification.kind == response_kind::not_run) {
    if (classification.is_misdirected)
      services_.caller.CloseIdleChannels(attempt_->target.address);
    EndAttempt(run_end::rejected);
    if (stream_started_ && (handover_ || !IsRepeatable()))
      return OnCopyUnusable("receiver_refused");
    return OnRejected(/*reached_target=*/true);
  }
  if (classification.kind == response_kind::invalid) {
    services_.on_invalid_response({{attempt_->target.id.text(), request_.id},
                                   classification.broken_rule});
    return OnFailure(run_end::broken);
  }
  // Only the end of the channel ends such a body.
  if (attempt_->head.EndsWithChannel() && HasSecondResponse(attempt_->body))
    return OnInvalidBody("surplus_bytes");
  if (classification.kind == response_kind::failure && !stream_started_) {
    if (TryConsumeRetry())
      return RetryOnAnotherTarget(run_end::failed);
    return ForwardResponse();
  }
  // The target does not work on the run any more.
  if (classification.kind == response_kind::failure && handover_) {
    EndAttempt(run_end::failed);
    return OnCopyUnusable("receiver_failed");
  }
  if (classification.kind == response_kind::failure || IsStreamBrokenOff())
    return OnFailure(run_end::broken);
  ForwardResponse();
}

// The target did not run the request, so another target may run it. Only
// requests that reached a target count against the retry budget.
void exchange::OnRejected(bool reached_target) {
  const timestamp now = services_.scheduler.Now();
  if (may_have_run_ && !IsRepeatable())
    return Refuse(error_code::target_failed, run_verdict::may_have_run);
  if (!reached_target)
    ++connect_failure_count_;
  if (!reached_target && services_.paths.IsLost())
    is_direct_try_ = false;
  if (!MayDispatchAgain(now) ||
      (reached_target && !services_.RetryBudgetOf(routed_.service)
                              .TryConsumeRetry(services_.instance_count, now)))
    return RefuseOverloaded(
        services_.selector.RetryAfter(SelectionRequest(), now));
  Dispatch();
}

bool exchange::MayDispatchAgain(timestamp now) const {
  if (dispatch_count_ < kMaxDispatches)
    return true;
  return dispatch_count_ - connect_failure_count_ < kMaxDispatches &&
         connect_failure_count_ < kMaxConnectFailures &&
         now <
             received_at_ + Route().first_byte_objective / kConnectTimeDivisor;
}

// The target may have run the request, but its response can't be used.
void exchange::OnFailure(run_end end) {
  // The stop of the run was requested; its outcome or a timer follows.
  if (IsWaitingForStop()) {
    attempt_->counts = false;
    EndAttempt(end);
    return ArmStopTimer();
  }
  // The end of a target that announced its shutdown is not a crash.
  const known_target* target = services_.directory.Find(attempt_->target.id);
  if (!target || target->leaving)
    attempt_->counts = false;
  if (target && !target->leaving)
    services_.on_run_broken(SuspectsOfBrokenRun(),
                            attempt_->splitter.event_count(), attempt_->target);
  if (stream_started_) {
    if (ResumeFromOtherCopy() || ResumeFromBackup() || ResumeWithNewRun())
      return;
    EndAttempt(end);
    return AbortStream("target_ended_stream");
  }
  if (TryConsumeRetry())
    return RetryOnAnotherTarget(end);
  EndAttempt(end);
  may_have_run_ = true;
  Refuse(error_code::target_failed, run_verdict::may_have_run);
}

// Returns whether the request may run on another target; if so, consumes one
// retry from the budget.
bool exchange::TryConsumeRetry() {
  return MayRetry() && services_.RetryBudgetOf(routed_.service)
                           .TryConsumeRetry(services_.instance_count,
                                            services_.scheduler.Now());
}

void exchange::RetryOnAnotherTarget(run_end end) {
  EndAttempt(end);
  ++run_count_;
  may_have_run_ = true;
  Dispatch();
}

void exchange::AbortStream(const std::string& reason) {
  response_writer_->Abort();
  services_.metrics.OnStreamBroken(reason);
  Finish("broken", reason, run_verdict::may_have_run);
}

void exchange::OnSlowAttempt() {
  // Another run need not produce what the caller was sent of this one.
  if (!attempt_ || stream_started_ || !attempt_->body.empty() ||
      !TryConsumeRetry())
    return;
  attempt_->call->Cancel();
  RetryOnAnotherTarget(run_end::timed_out);
}

void exchange::OnDeadline() {
  EndUnfinished(error_code::deadline_exceeded, "deadline");
}

void exchange::OnStopDeadline() {
  EndUnfinished(error_code::stopping, "stopping");
}

// Answers a request for which there is no time left.
void exchange::EndUnfinished(error_code code,
                             const std::string& stream_reason) {
  if (finished_)
    return;
  const bool sent = MayHaveBeenSent();
  CancelCalls();
  if (attempt_) {
    attempt_->counts = attempt_->counts && code != error_code::stopping;
    EndAttempt(run_end::timed_out);
  }
  if (stream_started_)
    return AbortStream(stream_reason);
  Refuse(code, sent || may_have_run_ ? run_verdict::may_have_run
                                     : run_verdict::not_run);
}

void exchange::EndAttempt(run_end end) {
  if (!attempt_)
    return;
  attempt_timer_.reset();
  if (attempt_->mover)
    std::exchange(attempt_->mover, nullptr)->Cancel();
  LogBrokenAttempt(end);
  RecordEnd(end);
  excluded_targets_.insert(attempt_->target.id);
  // Other pooled connections to a target that stopped responding may be dead as
  // well. A new connection fails before anything is sent.
  if (end == run_end::timed_out || end == run_end::broken)
    services_.caller.CloseIdleChannels(attempt_->target.address);
  services_.selector.EndRun(attempt_->run, end, services_.scheduler.Now());
  if (attempt_->backup_target) {
    services_.selector.EndRun(attempt_->backup_run, run_end::cancelled,
                              services_.scheduler.Now());
  }
  attempt_.reset();
  services_.on_load_change();
}

void exchange::OnCallerGone() {
  if (finished_)
    return;
  const bool sent = MayHaveBeenSent();
  CancelCalls();
  EndAttempt(run_end::cancelled);
  Finish(
      "caller_gone", "",
      sent || may_have_run_ ? run_verdict::may_have_run : run_verdict::not_run);
}

}  // namespace wist
