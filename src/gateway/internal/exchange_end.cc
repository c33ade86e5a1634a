#include <algorithm>

#include "gateway/internal/exchange.h"

// End of an exchange and of its attempts: refusals with their Retry-After, and
// the log entries.
namespace wist {
namespace {

// Retry-After is the latency objective divided by this number. A full service
// frees capacity several times a second, so a caller that retries after this
// time can still be served within the objective.
constexpr int kRetryAfterDivisor = 4;

// Retry-After is extended by a jitter of up to this fraction, so that refused
// callers do not all retry at the same time.
constexpr double kRetryAfterJitter = 0.5;

// Makes the jitter independent of other values hashed from the request id.
constexpr std::uint64_t kRetryJitterSeed = 2;

// Another instance may be able to serve the request, so the caller may retry
// almost immediately, on another connection.
constexpr milliseconds kOtherInstanceRetryAfter{10};

// Every instance refuses the request, and a quarantine that is wrong takes
// about this long to end.
constexpr milliseconds kQuarantineRetryAfter{30'000};

// Returns the name of an end after which a run may go on at another target;
// null for the others.
const char* BrokenEndName(run_end end) {
  switch (end) {
    case run_end::failed:
      return "failed";
    case run_end::broken:
      return "broken";
    case run_end::timed_out:
      return "timed_out";
    case run_end::completed:
    case run_end::rejected:
    case run_end::unreachable:
    case run_end::cancelled:
      return nullptr;
  }
  return nullptr;
}

}  // namespace

void exchange::RefuseOverloaded(milliseconds retry_after) {
  if (may_have_run_)
    return Refuse(error_code::target_failed, run_verdict::may_have_run);
  if (TryRelay())
    return;
  refusal refused{error_code::overloaded, run_verdict::not_run, std::nullopt};
  const milliseconds base = std::max(
      retry_after, milliseconds(std::chrono::duration_cast<milliseconds>(
                       Route().first_byte_objective / kRetryAfterDivisor)));
  refused.other_instance_may_serve =
      IsRefusedByInstanceOnly(error_code::overloaded);
  refused.retry_after = milliseconds(static_cast<std::int64_t>(
      static_cast<double>(base.count()) *
      (1 +
       kRetryAfterJitter * HashToUnitInterval(request_.id, kRetryJitterSeed))));
  response_writer_->Send(services_.dialect.EncodeRefusal(
      request_.id, refused, response_writer_->KeepsConnection()));
  Finish("refused", "overloaded", run_verdict::not_run);
}

void exchange::Refuse(error_code code, run_verdict verdict) {
  refusal refused{code, verdict, std::nullopt};
  // Later requests on this connection would be refused as well.
  if (code == error_code::not_ready || code == error_code::stopping)
    response_writer_->CloseAfterResponse();
  if (verdict == run_verdict::not_run)
    refused.retry_after = kOtherInstanceRetryAfter;
  if (code == error_code::quarantined || IsQuarantined())
    refused.retry_after = kQuarantineRetryAfter;
  if (stream_started_)
    return AbortStream(std::string(ErrorCodeName(code)));
  refused.other_instance_may_serve =
      verdict == run_verdict::not_run && IsRefusedByInstanceOnly(code);
  response_writer_->Send(services_.dialect.EncodeRefusal(
      request_.id, refused, response_writer_->KeepsConnection()));
  Finish(verdict == run_verdict::not_run ? "refused" : "failed",
         std::string(ErrorCodeName(code)), verdict);
}

void exchange::Finish(const std::string& outcome,
                      const std::string& reason,
                      run_verdict verdict) {
  if (finished_)
    return;
  finished_ = true;
  Log(outcome, reason, verdict);
  CancelCalls();
  EndAttempt(run_end::cancelled);
  EndHandover();
  deadline_timer_.reset();
  attempt_timer_.reset();
  capacity_timer_.reset();
  response_writer_ = nullptr;
  if (on_finished_)
    std::exchange(on_finished_, nullptr)();
}

void exchange::LogBrokenAttempt(run_end end) {
  const char* name = BrokenEndName(end);
  if (!name)
    return;
  services_.logger.Write(
      log_level::info, "attempt_broken",
      {{"request_id", request_.id},
       {"target", attempt_->target.id.text()},
       {"end", std::string(name)},
       {"status", static_cast<std::int64_t>(attempt_->head.status)},
       {"events", attempt_->splitter.event_count()},
       {"incomplete_event_bytes",
        static_cast<std::int64_t>(attempt_->splitter.partial_bytes())},
       {"took_ms",
        ToMilliseconds(services_.scheduler.Now() - attempt_->sent_at)}});
}

void exchange::Log(const std::string& outcome,
                   const std::string& reason,
                   run_verdict verdict) {
  const timestamp now = services_.scheduler.Now();
  const char* kind =
      routed_.match.route ? CallKindName(Route().kind) : "unrouted";
  services_.metrics.OnRequestEnd(kind, outcome, now - received_at_);
  std::string targets;
  for (const target_id& target : excluded_targets_)
    targets += (targets.empty() ? "" : ",") + target.text();
  if (attempt_)
    targets += (targets.empty() ? "" : ",") + attempt_->target.id.text();
  std::string relay_instances;
  for (const std::string& instance : relay_instances_)
    relay_instances += (relay_instances.empty() ? "" : ",") + instance;
  const auto age = services_.latest_configuration.ConfirmationAge(now);
  services_.logger.Write(
      log_level::info, "request",
      {{"request_id", request_.id},
       {"kind", std::string(kind)},
       {"route", routed_.match.route ? Route().name : ""},
       {"outcome", outcome},
       {"reason", reason},
       {"verdict", std::string(VerdictName(verdict))},
       {"targets", targets},
       {"sends", static_cast<std::int64_t>(dispatch_count_)},
       {"relayed_to", relay_instances},
       {"is_relayed", request_.is_relayed},
       {"target_runs", static_cast<std::int64_t>(load_at_dispatch_.runs)},
       {"target_tokens", load_at_dispatch_.tokens},
       {"target_unread_tokens", load_at_dispatch_.pending_prefill_tokens},
       {"events", sent_events_.count},
       {"resumes", static_cast<std::int64_t>(resume_count_)},
       {"took_ms", ToMilliseconds(now - received_at_)},
       {"first_event_ms",
        first_sent_event_at_
            ? ToMilliseconds(*first_sent_event_at_ - received_at_)
            : -1.0},
       {"longest_pause_ms", ToMilliseconds(longest_pause_)},
       {"configuration", services_.latest_configuration.version()},
       {"configuration_age_ms", age ? ToMilliseconds(*age) : -1.0}});
}

}  // namespace wist
