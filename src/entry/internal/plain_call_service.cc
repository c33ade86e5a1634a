#include "entry/internal/plain_call_service.h"

#include "entry/internal/refusal.h"

namespace wist {
namespace {

constexpr milliseconds kDefaultLimit{10'000};
constexpr milliseconds kClaimLimit{3000};
constexpr milliseconds kOutcomeLimit{5000};

// Longer answers are recorded without their body.
constexpr std::size_t kMaxRecordedBytes = 8192;
constexpr char kBodyNotRecorded[] = R"({"recorded":"without its body"})";

// A target sets this header on an answer that says that it did nothing.
constexpr char kNotRunHeader[] = "X-Not-Run";

// Keys issued further ahead than this come from a wrong clock.
constexpr seconds kMaxClockSkew{300};

// A try that ended without an answer.
struct failed_try {
  run_verdict verdict = run_verdict::not_run;
  std::string text;
};

recorded_outcome ToOutcome(const http_response& response) {
  const bool fits = response.body.size() <= kMaxRecordedBytes;
  return {response.status, fits ? response.body : kBodyNotRecorded};
}

[[noreturn]] void ThrowClaimRefusal(const claim_result& result) {
  struct visitor {
    request_error operator()(const claim_granted&) const {
      return {error_code::internal, run_verdict::not_run, "granted"};
    }
    request_error operator()(const claim_replayed&) const {
      return {error_code::internal, run_verdict::ran, "replayed"};
    }
    request_error operator()(const claim_undecided&) const {
      return {error_code::claim_in_doubt, run_verdict::may_have_run,
              "another request with this key has no outcome"};
    }
    request_error operator()(const claim_mismatch&) const {
      return {error_code::key_body_mismatch, run_verdict::not_run,
              "the key was used with another body"};
    }
    request_error operator()(const claim_too_old&) const {
      return {error_code::key_too_old, run_verdict::may_have_run,
              "the key's records are closed"};
    }
    request_error operator()(const claim_unavailable&) const {
      return {error_code::claim_store_unavailable, run_verdict::not_run,
              "the claim could not be settled in time"};
    }
  };
  throw std::visit(visitor{}, result);
}

}  // namespace

plain_call_service::plain_call_service(const entry_service_settings& settings,
                                       const entry_services& services)
    : settings_(settings),
      services_(services),
      records_(settings, services.logger) {}

http_response plain_call_service::Run(const plain_request& request,
                                      exchange_record& record) {
  CheckLimits(request);
  const auto configuration = services_.node->status().Configuration();
  const service_spec& service =
      FindService(configuration->body, request.service);
  const timestamp deadline =
      services_.clock->Now() + request.limit.value_or(kDefaultLimit);
  if (!service.repeatable && request.key)
    return RunClaimed(request, deadline, record);
  return RunOnce(request, service.repeatable, deadline, record);
}

void plain_call_service::CheckLimits(const plain_request& request) const {
  const auto retry_at = services_.node->limits().TakeRequest(request.workspace);
  if (retry_at)
    throw request_error(error_code::workspace_limit, run_verdict::not_run,
                        "the workspace's rate is used up",
                        ToCalendar(*retry_at, *services_.clock));
}

const service_spec& plain_call_service::FindService(
    const configuration_body& body,
    const service_id& id) const {
  for (const service_spec& service : body.services) {
    if (service.id == id && service.kind == service_kind::plain)
      return service;
  }
  throw request_error(error_code::unknown_service, run_verdict::not_run,
                      "no such plain service");
}

http_response plain_call_service::RunClaimed(const plain_request& request,
                                             timestamp deadline,
                                             exchange_record& record) {
  const idempotency_key& key = *request.key;
  if (key.issued_at() > services_.clock->CalendarNow() + kMaxClockSkew)
    throw request_error(error_code::bad_request, run_verdict::not_run,
                        "the key was issued in the future");
  const timestamp claim_deadline =
      std::min(deadline, services_.clock->Now() + kClaimLimit);
  const claim_result claimed =
      services_.claims->Claim(key, request.digest, claim_deadline);
  if (const auto* replayed = std::get_if<claim_replayed>(&claimed)) {
    record.verdict = run_verdict::ran;
    record.result = "replayed";
    return {replayed->outcome.status,
            {{"Idempotency-Replayed", "true"}},
            replayed->outcome.body};
  }
  const auto* granted = std::get_if<claim_granted>(&claimed);
  if (!granted)
    ThrowClaimRefusal(claimed);
  record.nonce = granted->ticket.nonce;
  http_response response;
  try {
    response = RunOnce(request, false, deadline, record);
  } catch (const request_error& error) {
    // Given up only if no byte left: the claim of a request that may have run
    // stays, so that no resend runs it again.
    if (error.verdict() == run_verdict::not_run)
      services_.claims->Withdraw(granted->ticket,
                                 services_.clock->Now() + kOutcomeLimit);
    throw;
  }
  const bool recorded =
      services_.claims->RecordOutcome(granted->ticket, ToOutcome(response),
                                      services_.clock->Now() + kOutcomeLimit);
  if (!recorded)
    services_.logger->Write(log_level::warning, "outcome_not_recorded",
                            {{"key", key.text()}});
  return response;
}

http_response plain_call_service::RunOnce(const plain_request& request,
                                          bool repeatable,
                                          timestamp deadline,
                                          exchange_record& record) {
  services_.node->limits().OnFirstTry();
  std::vector<target_id> excluded;
  failed_try last{run_verdict::not_run, "no target can take the call"};
  for (;;) {
    const auto target = services_.node->plain_router().Choose(
        request.workspace, request.service, excluded);
    if (!target)
      throw request_error(error_code::no_route, last.verdict, last.text,
                          services_.clock->CalendarNow() + seconds(1));
    try {
      return CallTarget(*target, request, deadline, record);
    } catch (const http_error& error) {
      const bool may_have_run = error.may_have_left();
      if (may_have_run)
        record.verdict = run_verdict::may_have_run;
      last = {record.verdict, error.what()};
      excluded.push_back(target->id);
      services_.node->plain_router().OnFailure(target->id);
      const bool may_retry =
          (!may_have_run || repeatable) && services_.clock->Now() < deadline;
      if (!may_retry || !services_.node->limits().TryRetry())
        throw request_error(error_code::target_failed, record.verdict,
                            error.what());
    }
  }
}

// Throws http_error; one that did not leave also for a target that says that
// it did nothing.
http_response plain_call_service::CallTarget(const target_spec& target,
                                             const plain_request& request,
                                             timestamp deadline,
                                             exchange_record& record) {
  const auto configuration = services_.node->status().Configuration();
  record.target = target.id.text();
  ++record.dispatches;
  records_.Dispatch(record, target, configuration->version);
  http_request call{.method = "POST", .path = "/call"};
  call.body = request.body;
  if (request.key)
    call.headers.push_back({"Idempotency-Key", request.key->text()});
  if (!services_.node->plain_router().MaySend(target))
    throw http_error(false, false, "the target was taken out meanwhile");
  const http_response response =
      services_.http->Call({target.host, target.port}, call, deadline);
  if (response.Header(kNotRunHeader) == "true")
    throw http_error(false, false, "the target refused the call");
  if (response.status >= 500)
    throw http_error(true, false, "the target failed during the call");
  record.verdict = run_verdict::ran;
  return {response.status, {}, response.body};
}

}  // namespace wist
