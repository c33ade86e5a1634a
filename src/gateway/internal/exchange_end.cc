#include <algorithm>

#include "gateway/internal/exchange.h"

// How an exchange ends: refusals with the time to come back, and its log line.
namespace wist {
namespace {

// A full service has room several times a second. A caller that comes back
// after this part of its objective can still be served in time.
constexpr int kRetryDivisor = 4;

// Refused callers return spread over this part of their Retry-After.
constexpr double kRetrySpread = 0.5;

// Distinguishes the spread of Retry-After from other uses of a request's point.
constexpr std::uint64_t kRetrySeed = 2;

// Another instance serves a caller that this one can't serve, so it may come
// back at once, on another channel.
constexpr milliseconds kElsewhereRetryAfter{10};

}  // namespace

void exchange::RefuseFull(milliseconds retry_after) {
  if (may_have_run_)
    return Refuse(error_code::target_failed, run_verdict::may_have_run);
  refusal refused{error_code::overloaded, run_verdict::not_run, std::nullopt};
  const milliseconds base = std::max(
      retry_after, milliseconds(std::chrono::duration_cast<milliseconds>(
                       Route().objective / kRetryDivisor)));
  refused.retry_after = milliseconds(static_cast<std::int64_t>(
      static_cast<double>(base.count()) *
      (1 + kRetrySpread * PointOf(request_.id, kRetrySeed))));
  reply_->Send(services_.dialect.EncodeRefusal(request_.id, refused,
                                               reply_->KeepsChannel()));
  Over("refused", "overloaded", run_verdict::not_run);
}

void exchange::Refuse(error_code code, run_verdict verdict) {
  refusal refused{code, verdict, std::nullopt};
  // Its later requests would be refused as well.
  if (code == error_code::not_ready || code == error_code::stopping)
    reply_->CloseAfterAnswer();
  if (verdict == run_verdict::not_run)
    refused.retry_after = kElsewhereRetryAfter;
  // Every instance refuses it until then.
  const timestamp now = services_.scheduler.Now();
  if (const auto until = services_.crashes.QuarantinedUntil(digest_, now))
    refused.retry_after =
        std::chrono::duration_cast<milliseconds>(*until - now);
  if (streaming_)
    return BreakStream(std::string(ErrorCodeName(code)));
  reply_->Send(services_.dialect.EncodeRefusal(request_.id, refused,
                                               reply_->KeepsChannel()));
  Over(verdict == run_verdict::not_run ? "refused" : "failed",
       std::string(ErrorCodeName(code)), verdict);
}

void exchange::Over(const std::string& outcome,
                    const std::string& reason,
                    run_verdict verdict) {
  if (over_)
    return;
  over_ = true;
  Log(outcome, reason, verdict);
  if (attempt_ && attempt_->call)
    attempt_->call->Cancel();
  EndAttempt(run_end::withdrawn);
  if (mover_)
    std::exchange(mover_, nullptr)->Cancel();
  deadline_timer_.reset();
  attempt_timer_.reset();
  hold_timer_.reset();
  reply_ = nullptr;
  if (on_over_)
    std::exchange(on_over_, nullptr)();
}

void exchange::Log(const std::string& outcome,
                   const std::string& reason,
                   run_verdict verdict) {
  const timestamp now = services_.scheduler.Now();
  const char* kind =
      routed_.match.route ? CallKindName(Route().kind) : "unrouted";
  services_.metrics.OnEnd(kind, outcome, now - received_at_);
  std::string targets;
  for (const target_id& target : excluded_)
    targets += (targets.empty() ? "" : ",") + target.text();
  if (attempt_)
    targets += (targets.empty() ? "" : ",") + attempt_->target.id.text();
  const auto age = services_.belief.Age(now);
  services_.logger.Write(
      log_level::info, "request",
      {{"request_id", request_.id},
       {"kind", std::string(kind)},
       {"route", routed_.match.route ? Route().name : ""},
       {"outcome", outcome},
       {"reason", reason},
       {"verdict", std::string(VerdictName(verdict))},
       {"targets", targets},
       {"sends", static_cast<std::int64_t>(sends_)},
       {"target_runs", static_cast<std::int64_t>(chosen_load_.runs)},
       {"target_tokens", chosen_load_.tokens},
       {"target_unread_tokens", chosen_load_.unread_tokens},
       {"events", splitter_.events()},
       {"resumes", static_cast<std::int64_t>(resumes_)},
       {"took_ms", ToMilliseconds(now - received_at_)},
       {"first_event_ms", first_event_at_
                              ? ToMilliseconds(*first_event_at_ - received_at_)
                              : -1.0},
       {"longest_pause_ms", ToMilliseconds(longest_pause_)},
       {"configuration", services_.belief.version()},
       {"configuration_age_ms", age ? ToMilliseconds(*age) : -1.0}});
}

}  // namespace wist
