#include "entry/internal/plain_call_service.h"

#include "entry/internal/error_response.h"

namespace wist {
namespace {

constexpr milliseconds kDefaultTimeout{10'000};
constexpr milliseconds kClaimTimeout{3000};
constexpr milliseconds kOutcomeTimeout{5000};

// The claim records longer response bodies as kOmittedBody.
constexpr std::size_t kMaxRecordedBodyBytes = 8192;
constexpr char kOmittedBody[] = R"({"recorded":"without its body"})";

// A target sets this header to "true" if it did not execute the call.
constexpr char kNotRunHeader[] = "X-Not-Run";

// A key issued further in the future than this comes from a wrong clock and is
// rejected.
constexpr seconds kMaxClockSkew{300};

// An attempt that ended without a response.
struct failed_attempt {
  run_verdict verdict = run_verdict::not_run;
  std::string text;
};

recorded_outcome ToOutcome(const http_response& response) {
  const bool fits = response.body.size() <= kMaxRecordedBodyBytes;
  return {response.status, fits ? response.body : kOmittedBody};
}

[[noreturn]] void ThrowClaimError(const claim_result& result) {
  struct visitor {
    request_error operator()(const claim_granted&) const {
      return {error_code::internal, run_verdict::not_run, "granted"};
    }
    request_error operator()(const claim_replayed&) const {
      return {error_code::internal, run_verdict::ran, "replayed"};
    }
    request_error operator()(const claim_in_doubt&) const {
      return {error_code::claim_in_doubt, run_verdict::may_have_run,
              "another request with this idempotency key has no outcome yet"};
    }
    request_error operator()(const claim_body_mismatch&) const {
      return {error_code::key_body_mismatch, run_verdict::not_run,
              "idempotency key was already used with another body"};
    }
    request_error operator()(const claim_too_old&) const {
      return {error_code::key_too_old, run_verdict::may_have_run,
              "idempotency key is too old: its claim records are closed"};
    }
    request_error operator()(const claim_store_unavailable&) const {
      return {error_code::claim_store_unavailable, run_verdict::not_run,
              "claim store did not settle the claim in time"};
    }
  };
  throw std::visit(visitor{}, result);
}

}  // namespace

plain_call_service::plain_call_service(const entry_service_settings& settings,
                                       const entry_services& services)
    : settings_(settings),
      services_(services),
      audit_log_(settings, services.logger) {}

http_response plain_call_service::Run(const plain_request& request,
                                      audit_record& record) {
  CheckLimits(request);
  const auto configuration = services_.node->status().Configuration();
  const service_spec& service =
      FindService(configuration->body, request.service);
  const timestamp deadline =
      services_.clock->Now() + request.timeout.value_or(kDefaultTimeout);
  if (!service.repeatable && request.key)
    return RunWithClaim(request, deadline, record);
  return RunWithRetries(request, service.repeatable, deadline, record);
}

void plain_call_service::CheckLimits(const plain_request& request) const {
  const auto retry_at =
      services_.node->limits().TryAcquireRequest(request.workspace);
  if (retry_at)
    throw request_error(error_code::workspace_limit, run_verdict::not_run,
                        "workspace request rate limit exceeded",
                        ToCalendarTime(*retry_at, *services_.clock));
}

const service_spec& plain_call_service::FindService(
    const configuration_body& body,
    const service_id& id) const {
  for (const service_spec& service : body.services) {
    if (service.id == id && service.kind == service_kind::plain)
      return service;
  }
  throw request_error(error_code::unknown_service, run_verdict::not_run,
                      "unknown plain service");
}

http_response plain_call_service::RunWithClaim(const plain_request& request,
                                               timestamp deadline,
                                               audit_record& record) {
  const idempotency_key& key = *request.key;
  if (key.issued_at() > services_.clock->CalendarNow() + kMaxClockSkew)
    throw request_error(
        error_code::bad_request, run_verdict::not_run,
        "idempotency key was issued more than 300 s in the future");
  const timestamp claim_deadline =
      std::min(deadline, services_.clock->Now() + kClaimTimeout);
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
    ThrowClaimError(claimed);
  record.nonce = granted->ticket.nonce;
  http_response response;
  try {
    response = RunWithRetries(request, false, deadline, record);
  } catch (const request_error& error) {
    // The claim is withdrawn only if the request did not run. The claim of a
    // request that may have run is kept, so that a resend does not run it
    // again.
    if (error.verdict() == run_verdict::not_run)
      services_.claims->Withdraw(granted->ticket,
                                 services_.clock->Now() + kOutcomeTimeout);
    throw;
  }
  const bool recorded =
      services_.claims->RecordOutcome(granted->ticket, ToOutcome(response),
                                      services_.clock->Now() + kOutcomeTimeout);
  if (!recorded)
    services_.logger->Write(log_level::warning, "outcome_not_recorded",
                            {{"key", key.text()}});
  return response;
}

http_response plain_call_service::RunWithRetries(const plain_request& request,
                                                 bool repeatable,
                                                 timestamp deadline,
                                                 audit_record& record) {
  services_.node->limits().OnFirstAttempt();
  std::vector<target_id> excluded;
  failed_attempt last_failure{run_verdict::not_run, "no target is available"};
  for (;;) {
    const auto target = services_.node->plain_router().Choose(
        request.workspace, request.service, excluded);
    if (!target)
      throw request_error(error_code::no_route, last_failure.verdict,
                          last_failure.text,
                          services_.clock->CalendarNow() + seconds(1));
    try {
      return CallTarget(*target, request, deadline, record);
    } catch (const http_error& error) {
      const bool may_have_run = error.may_have_been_sent();
      if (may_have_run)
        record.verdict = run_verdict::may_have_run;
      last_failure = {record.verdict, error.what()};
      excluded.push_back(target->id);
      services_.node->plain_router().OnFailure(target->id);
      const bool may_retry =
          (!may_have_run || repeatable) && services_.clock->Now() < deadline;
      if (!may_retry || !services_.node->limits().TryConsumeRetry())
        throw request_error(error_code::target_failed, record.verdict,
                            error.what());
    }
  }
}

// Throws http_error. For a target that reports that it did not execute the
// call, its may_have_been_sent() is false, as if no byte had been sent.
http_response plain_call_service::CallTarget(const target_spec& target,
                                             const plain_request& request,
                                             timestamp deadline,
                                             audit_record& record) {
  const auto configuration = services_.node->status().Configuration();
  record.target = target.id.text();
  ++record.dispatches;
  audit_log_.LogDispatch(record, target, configuration->version);
  http_request call{.method = "POST", .path = "/call"};
  call.body = request.body;
  call.label = {target.id.text(), record.request_id};
  if (request.key)
    call.headers.push_back({"Idempotency-Key", request.key->text()});
  if (!services_.node->plain_router().MaySend(target))
    throw http_error(
        false, false,
        "target was taken out of service before the call was sent");
  const http_response response =
      services_.http->Call({target.host, target.port}, call, deadline);
  if (response.Header(kNotRunHeader) == "true")
    throw http_error(false, false, "target did not execute the call");
  if (response.status >= 500)
    throw http_error(true, false, "target failed during the call");
  record.verdict = run_verdict::ran;
  return {response.status, {}, response.body};
}

}  // namespace wist
