#include "gateway/internal/exchange.h"

#include <algorithm>

namespace wist {
namespace {

// Opening a channel takes a round trip; a target that does not accept within
// this time is cut off or overloaded.
constexpr milliseconds kConnectLimit{300};

// A kept channel may be dead without a sign, and what was sent on it then may
// have run. Requests that may not be repeated use young ones only, and long
// generations none: a channel that can't be opened sent nothing.
constexpr milliseconds kMaxIdleRepeatable{8000};
constexpr milliseconds kMaxIdleOnce{2500};
constexpr milliseconds kMaxIdleStream{0};

milliseconds MaxIdle(call_kind kind) {
  switch (kind) {
    case call_kind::idempotent:
      return kMaxIdleRepeatable;
    case call_kind::non_idempotent:
      return kMaxIdleOnce;
    case call_kind::streaming:
      return kMaxIdleStream;
  }
  return kMaxIdleStream;
}

// Targets tried for one request at the most, where the ones before said that
// they did not run it.
constexpr int kMaxSends = 4;

// An idempotent call without an answer after this many objectives is sent to
// another target.
constexpr int kSlowObjectives = 2;

// Part of the objective that a request may wait for room: waiting longer would
// take the time that its caller needs to come back.
constexpr int kHoldDivisor = 8;
constexpr milliseconds kHoldPause{20};

// An answer is kept whole before it is passed on; larger ones are broken off.
constexpr std::size_t kMaxWholeAnswer = 8'388'608;

}  // namespace

exchange::exchange(gateway_services& services,
                   caller_request request,
                   i_reply& reply,
                   std::function<void()> on_over)
    : services_(services),
      request_(std::move(request)),
      reply_(&reply),
      on_over_(std::move(on_over)),
      received_at_(services.scheduler.Now()),
      digest_(DigestOf(request_)) {}

exchange::~exchange() = default;

void exchange::Start() {
  auto routed = RouteRequest(services_, request_, received_at_);
  if (const auto* code = std::get_if<error_code>(&routed))
    return Refuse(*code, run_verdict::not_run);
  routed_ = std::move(std::get<routed_request>(routed));
  if (IsQuarantined())
    return Refuse(error_code::quarantined, run_verdict::not_run);
  services_.BudgetOf(routed_.service).OnRequest(received_at_);
  deadline_timer_ = services_.scheduler.RunAt(
      routed_.deadline, [self = shared_from_this()] { self->OnDeadline(); });
  Dispatch();
}

const route_spec& exchange::Route() const {
  return *routed_.match.route;
}

selection_request exchange::SelectionRequest() const {
  selection_request wanted;
  wanted.service = routed_.service;
  wanted.excluded = excluded_;
  wanted.size = ExpectedSize(request_);
  if (request_.generation)
    wanted.session = request_.generation->session;
  if (Route().objective > milliseconds(0))
    wanted.objective = Route().objective;
  return wanted;
}

void exchange::Dispatch() {
  const timestamp now = services_.scheduler.Now();
  const selection chosen = services_.selector.Choose(SelectionRequest(), now);
  if (const auto* fault = std::get_if<selection_fault>(&chosen))
    return Hold(*fault);
  const known_target* target =
      services_.directory.Find(std::get<target_id>(chosen));
  hold_timer_.reset();
  Send(target->entry, std::nullopt);
}

void exchange::Hold(const selection_fault& fault) {
  const timestamp now = services_.scheduler.Now();
  const timestamp hold_deadline =
      received_at_ + Route().objective / kHoldDivisor;
  if (!fault.is_full || sends_ > 0 || now + kHoldPause >= hold_deadline)
    return RefuseFull(fault.retry_after);
  hold_timer_ = services_.scheduler.RunAt(
      now + kHoldPause, [self = shared_from_this()] { self->Dispatch(); });
}

milliseconds exchange::TimeLeft(timestamp now) const {
  return std::chrono::duration_cast<milliseconds>(routed_.deadline - now);
}

void exchange::Send(const target_entry& target,
                    const std::optional<run_memory>& memory) {
  const timestamp now = services_.scheduler.Now();
  const milliseconds time_left = TimeLeft(now);
  if (time_left <= milliseconds(0))
    return OnDeadline();
  ++sends_;
  attempt_.emplace();
  attempt_->target = target;
  chosen_load_ = services_.selector.TotalLoad(target.id, now);
  selection_request selected = SelectionRequest();
  selected.continues_run = memory.has_value();
  attempt_->run = services_.selector.Begin(target.id, selected, now);
  services_.on_load_change();
  target_dispatch dispatch;
  dispatch.target = target;
  dispatch.time_left = time_left;
  dispatch.priority = routed_.priority;
  dispatch.workspace = routed_.match.workspace
                           ? routed_.match.workspace->id.text()
                           : std::string();
  dispatch.memory = memory;
  if (memory)
    dispatch.last_event_id = splitter_.last_id().value_or("");
  AddBackup(dispatch);

  const auto self = shared_from_this();
  const run_number run = attempt_->run;
  const auto current = [self, run] {
    return self->attempt_ && self->attempt_->run == run;
  };
  call_callbacks callbacks;
  callbacks.accepts = [self](const http_answer_head& head) {
    return self->services_.dialect.Answers(head, self->request_.id);
  };
  callbacks.on_head = [self, current](const http_answer_head& head) {
    if (current())
      self->OnHead(head);
  };
  callbacks.on_body = [self, current](std::string bytes) {
    if (current())
      self->OnBody(std::move(bytes));
  };
  callbacks.on_done = [self, current](call_outcome outcome) {
    if (current())
      self->OnDone(outcome);
  };
  const bool repeatable = Route().kind == call_kind::idempotent;
  attempt_->call = services_.caller.Call(
      target.address, services_.dialect.EncodeDispatch(request_, dispatch),
      {std::min(routed_.deadline, now + kConnectLimit), MaxIdle(Route().kind)},
      std::move(callbacks));
  if (!repeatable)
    return;
  attempt_timer_ = services_.scheduler.RunAt(
      now + Route().objective * kSlowObjectives,
      [self = shared_from_this()] { self->OnSlowAttempt(); });
}

bool exchange::MayRunMore() const {
  return Route().kind == call_kind::idempotent &&
         runs_ + 1 < Route().max_attempts && sends_ < kMaxSends &&
         !IsQuarantined();
}

bool exchange::IsQuarantined() const {
  return services_.crashes.QuarantinedUntil(digest_, services_.scheduler.Now())
      .has_value();
}

void exchange::OnHead(const http_answer_head& head) {
  attempt_->facts = services_.dialect.Classify(head);
  attempt_->head = head;
}

void exchange::OnBody(std::string bytes) {
  const bool is_stream = attempt_->facts.kind == answer_kind::success &&
                         attempt_->facts.is_event_stream;
  if (!is_stream) {
    attempt_->body += bytes;
    if (attempt_->body.size() <= kMaxWholeAnswer)
      return;
    attempt_->call->Cancel();
    return OnFailure(run_end::broken);
  }
  std::string events = splitter_.Feed(bytes);
  if (events.empty())
    return;
  services_.selector.OnFirstOutput(attempt_->run, services_.scheduler.Now());
  NoteEvents();
  if (move_wanted_ && !mover_)
    BeginMove();
  if (!streaming_) {
    streaming_ = true;
    const std::vector<http_header> headers =
        services_.dialect.CallerHeaders(attempt_->head);
    services_.metrics.OnFirstByte(CallKindName(Route().kind),
                                  services_.scheduler.Now() - received_at_);
    reply_->Begin(EncodeChunkedAnswerHead(attempt_->head.status, headers));
  }
  if (!over_)
    reply_->Append(EncodeChunk(events));
}

void exchange::NoteEvents() {
  const timestamp now = services_.scheduler.Now();
  if (!first_event_at_)
    first_event_at_ = now;
  else
    longest_pause_ = std::max(longest_pause_, now - newest_event_at_);
  newest_event_at_ = now;
}

void exchange::OnDone(call_outcome outcome) {
  const bool connected = outcome.end != call_end::connect_failed;
  if (!connected || !outcome.may_have_left) {
    EndAttempt(run_end::unreachable);
    if (streaming_)
      return BreakStream("target_ended_stream");
    return OnRejected(false);
  }
  if (outcome.end != call_end::complete)
    return OnFailure(run_end::broken);
  OnComplete();
}

void exchange::OnComplete() {
  const answer_facts facts = attempt_->facts;
  if (facts.kind == answer_kind::not_run) {
    if (facts.is_misdirected)
      services_.caller.Forget(attempt_->target.address);
    EndAttempt(run_end::rejected);
    if (streaming_)
      return BreakStream("target_ended_stream");
    return OnRejected(true);
  }
  if (facts.kind == answer_kind::invalid)
    return OnFailure(run_end::broken);
  if (facts.kind == answer_kind::failure && !streaming_) {
    if (TakeRepeat())
      return RepeatElsewhere(run_end::failed);
    return PassOn();
  }
  if (facts.kind == answer_kind::failure || splitter_.HasPartial())
    return OnFailure(run_end::broken);
  PassOn();
}

// The target did not run the request, so any other may. Only what arrived at a
// target counts against the retry budget.
void exchange::OnRejected(bool arrived) {
  const timestamp now = services_.scheduler.Now();
  if (may_have_run_ && Route().kind != call_kind::idempotent)
    return Refuse(error_code::target_failed, run_verdict::may_have_run);
  if (sends_ >= kMaxSends ||
      (arrived && !services_.BudgetOf(routed_.service)
                       .TryRetry(services_.instance_count, now)))
    return RefuseFull(milliseconds(0));
  Dispatch();
}

// The target may have run the request, and its answer is of no use.
void exchange::OnFailure(run_end end) {
  // One that leaves ends by itself.
  const known_target* target = services_.directory.Find(attempt_->target.id);
  if (target && !target->leaving)
    services_.on_run_broken(digest_, attempt_->target);
  if (streaming_) {
    if (ResumeFromBackup())
      return;
    EndAttempt(end);
    return BreakStream("target_ended_stream");
  }
  if (TakeRepeat())
    return RepeatElsewhere(end);
  EndAttempt(end);
  may_have_run_ = true;
  Refuse(error_code::target_failed, run_verdict::may_have_run);
}

// Returns whether the request may run on another target; takes it from the
// retry budget if so.
bool exchange::TakeRepeat() {
  return MayRunMore() &&
         services_.BudgetOf(routed_.service)
             .TryRetry(services_.instance_count, services_.scheduler.Now());
}

void exchange::RepeatElsewhere(run_end end) {
  EndAttempt(end);
  ++runs_;
  may_have_run_ = true;
  Dispatch();
}

void exchange::BreakStream(const std::string& reason) {
  reply_->Abort();
  Over("broken", reason, run_verdict::may_have_run);
}

void exchange::OnSlowAttempt() {
  if (!attempt_ || !attempt_->body.empty() || !TakeRepeat())
    return;
  attempt_->call->Cancel();
  RepeatElsewhere(run_end::timed_out);
}

void exchange::OnDeadline() {
  if (over_)
    return;
  const bool sent = attempt_ && attempt_->call && attempt_->call->MayHaveLeft();
  if (attempt_ && attempt_->call)
    attempt_->call->Cancel();
  if (attempt_)
    EndAttempt(run_end::timed_out);
  if (streaming_)
    return BreakStream("deadline");
  Refuse(error_code::deadline_exceeded, sent || may_have_run_
                                            ? run_verdict::may_have_run
                                            : run_verdict::not_run);
}

void exchange::EndAttempt(run_end end) {
  if (!attempt_)
    return;
  attempt_timer_.reset();
  excluded_.insert(attempt_->target.id);
  // Kept channels to a target that fell silent may be as dead as this one; a
  // new channel fails before anything is sent.
  if (end == run_end::timed_out || end == run_end::broken)
    services_.caller.Forget(attempt_->target.address);
  services_.selector.End(attempt_->run, end, services_.scheduler.Now());
  if (attempt_->backup) {
    services_.selector.End(attempt_->backup_copy, run_end::withdrawn,
                           services_.scheduler.Now());
  }
  attempt_.reset();
  services_.on_load_change();
}

void exchange::PassOn() {
  services_.selector.OnFirstOutput(attempt_->run, services_.scheduler.Now());
  const bool answered = attempt_->facts.kind == answer_kind::success;
  if (!services_.crashes.Empty())
    services_.crashes.OnAnswered(digest_, services_.scheduler.Now());
  if (streaming_) {
    EndAttempt(run_end::answered);
    reply_->Finish(std::string(LastChunk()));
    return Over("answered", "", run_verdict::ran);
  }
  std::string bytes = EncodeHttpAnswer(
      attempt_->head.status, services_.dialect.CallerHeaders(attempt_->head),
      attempt_->body);
  EndAttempt(answered ? run_end::answered : run_end::failed);
  services_.metrics.OnFirstByte(CallKindName(Route().kind),
                                services_.scheduler.Now() - received_at_);
  reply_->Send(std::move(bytes));
  Over(answered ? "answered" : "target_failure", "", run_verdict::ran);
}

void exchange::OnCallerGone() {
  if (over_)
    return;
  const bool sent = attempt_ && attempt_->call && attempt_->call->MayHaveLeft();
  if (attempt_ && attempt_->call)
    attempt_->call->Cancel();
  EndAttempt(run_end::withdrawn);
  Over(
      "caller_gone", "",
      sent || may_have_run_ ? run_verdict::may_have_run : run_verdict::not_run);
}

}  // namespace wist
