#include "entry/internal/generation_service.h"

#include <algorithm>

#include "entry/internal/error_response.h"
#include "framework/base/hashing.h"

namespace wist {
namespace {

constexpr std::size_t kGenerationIdBytes = 12;

// A target must accept a request within this time after it was sent.
constexpr milliseconds kHeaderTimeout{5000};

std::int32_t PriorityOf(const configuration_body& body,
                        const workspace_id& workspace) {
  for (const workspace_spec& spec : body.workspaces) {
    if (spec.id == workspace)
      return spec.priority;
  }
  return 1;
}

std::string ShedMessage(shed_reason reason) {
  switch (reason) {
    case shed_reason::no_target:
      return "no routing rule leads to an available target";
    case shed_reason::deadline:
      return "no target can deliver the first token in time";
    case shed_reason::queue_full:
      return "admission queue is full";
  }
  return "refused";
}

}  // namespace

// Releases the slot of an admitted request on destruction.
class generation_service::admission_guard {
 public:
  admission_guard(i_blocking_admission& admission, request_number number)
      : admission_(admission), number_(number) {}
  ~admission_guard() { admission_.OnGenerationEnd(number_, end_); }
  admission_guard(const admission_guard&) = delete;
  admission_guard& operator=(const admission_guard&) = delete;

  void SetEnd(generation_end end) { end_ = end; }
  void OnProgress(std::int64_t tokens) {
    admission_.OnProgress(number_, tokens);
  }

 private:
  i_blocking_admission& admission_;
  const request_number number_;
  generation_end end_ = generation_end::cancelled;
};

generation_service::generation_service(const entry_service_settings& settings,
                                       const entry_services& services)
    : settings_(settings),
      services_(services),
      audit_log_(settings, services.logger),
      canceller_(services.http, services.clock) {}

void generation_service::Run(const generation_request& request,
                             audit_record& record,
                             i_http_responder& responder) {
  const timestamp arrived_at = services_.clock->Now();
  const timestamp first_token_deadline =
      arrived_at + request.first_token_timeout.value_or(
                       settings_.default_first_token_timeout);
  const metric_labels labels{request.service.text(), request.workspace.text(),
                             settings_.domain};
  CheckLimits(request);
  token_sink sink = buffered_sink(responder, record.request_id);
  if (request.stream)
    sink = streaming_sink(responder, *services_.keys, record.request_id);
  services_.node->limits().OnFirstAttempt();
  std::vector<target_id> excluded;
  for (;;) {
    for (const target_id& crashed_target :
         services_.node->limits().CrashedTargets(request.Identity()))
      excluded.push_back(crashed_target);
    const request_admitted admitted =
        Admit(request, excluded, first_token_deadline, record.verdict);
    admission_guard guard(services_.node->admission(), admitted.request);
    const auto target = FindTarget(admitted.target);
    if (!target || !services_.node->admission().MaySend(admitted))
      continue;
    output_observer observer(services_.node->limits(), request.Identity());
    try {
      RunOnTarget(*target, request, labels, arrived_at, guard, observer, record,
                  sink);
      return;
    } catch (const generation_lost& lost) {
      guard.SetEnd(generation_end::failed);
      HandleLostGeneration(lost, request, *target, observer, record, sink);
      if (record.tokens > 0)
        return;
      excluded.push_back(target->id);
    }
  }
}

void generation_service::ThrowQuarantined(const generation_quarantine& found,
                                          run_verdict verdict) const {
  const char* reason =
      found.covers_request
          ? "request is quarantined: it crashed several targets"
          : "request is quarantined: its prompt begins like "
            "others that crashed several targets";
  throw request_error(error_code::quarantined, verdict, reason,
                      ToCalendarTime(found.deadline, *services_.clock));
}

void generation_service::CheckLimits(const generation_request& request) const {
  i_request_limits& limits = services_.node->limits();
  if (const auto retry_at = limits.TryAcquireRequest(request.workspace)) {
    throw request_error(error_code::workspace_limit, run_verdict::not_run,
                        "workspace request rate limit exceeded",
                        ToCalendarTime(*retry_at, *services_.clock));
  }
  if (const auto found = limits.FindQuarantine(request.Identity())) {
    ThrowQuarantined(*found, found->covers_request ? run_verdict::may_have_run
                                                   : run_verdict::not_run);
  }
}

request_admitted generation_service::Admit(
    const generation_request& request,
    const std::vector<target_id>& excluded,
    timestamp first_token_deadline,
    run_verdict verdict) const {
  const auto configuration = services_.node->status().Configuration();
  admission_request wanted;
  wanted.workspace = request.workspace;
  wanted.service = request.service;
  wanted.prompt_tokens = request.prompt_tokens;
  wanted.priority = PriorityOf(configuration->body, request.workspace);
  wanted.first_token_deadline = first_token_deadline;
  wanted.prefix = request.prefix;
  wanted.prefix_tokens = request.prefix_tokens;
  wanted.excluded = excluded;
  const admission_decision decision = services_.node->admission().Admit(wanted);
  if (const auto* shed = std::get_if<request_shed>(&decision)) {
    const auto code = shed->reason == shed_reason::no_target
                          ? error_code::no_route
                          : error_code::overloaded;
    throw request_error(code, verdict, ShedMessage(shed->reason),
                        ToCalendarTime(shed->retry_at, *services_.clock));
  }
  return std::get<request_admitted>(decision);
}

void generation_service::RunOnTarget(const target_spec& target,
                                     const generation_request& request,
                                     const metric_labels& labels,
                                     timestamp arrived_at,
                                     admission_guard& guard,
                                     output_observer& observer,
                                     audit_record& record,
                                     token_sink& sink) {
  const auto configuration = services_.node->status().Configuration();
  resume_point generation;
  generation.target = target.id;
  generation.generation = RandomHex(kGenerationIdBytes);
  generation.format = request.format;
  record.generation = generation.generation;
  record.target = target.id.text();
  ++record.dispatches;
  audit_log_.LogDispatch(record, target, configuration->version);

  http_request target_request{.method = "POST"};
  target_request.path = request.format == stream_format::chat
                            ? "/v1/chat/completions"
                            : "/v1/completions";
  target_request.headers = {
      {"X-Generation-Id", generation.generation},
      {"X-Priority",
       std::to_string(PriorityOf(configuration->body, request.workspace))}};
  target_request.body = request.body;
  generation_stream stream(*services_.http, *services_.clock, target,
                           generation.generation, record.request_id,
                           request.format);
  stream.Start(target_request, services_.clock->Now() + kHeaderTimeout);
  record.verdict = run_verdict::may_have_run;
  RelayTokens(stream, generation, target, labels, arrived_at, &guard, &observer,
              record, sink);
  guard.SetEnd(generation_end::finished);
  observer.OnEnd();
}

void generation_service::RelayTokens(generation_stream& stream,
                                     const resume_point& generation,
                                     const target_spec& target,
                                     const metric_labels& labels,
                                     timestamp arrived_at,
                                     admission_guard* guard,
                                     output_observer* observer,
                                     audit_record& record,
                                     token_sink& sink) {
  try {
    std::optional<timestamp> last_token_at;
    for (;;) {
      const stream_event event = stream.Next();
      const auto* token = std::get_if<token_event>(&event);
      if (!token)
        break;
      const timestamp now = services_.clock->Now();
      if (last_token_at)
        services_.metrics->OnTokenGap(labels, now - *last_token_at);
      else
        services_.metrics->OnFirstToken(labels, now - arrived_at);
      last_token_at = now;
      std::visit([&](auto& s) { s.WriteToken(generation, *token); }, sink);
      ++record.tokens;
      if (guard)
        guard->OnProgress(token->offset + 1);
      if (observer)
        observer->OnToken(now);
    }
    std::visit([&](auto& s) { s.Finish(generation); }, sink);
    record.verdict = run_verdict::ran;
  } catch (const http_client_disconnected&) {
    stream.Close();
    canceller_.ScheduleCancel(target, generation.generation);
    throw;
  }
}

void generation_service::HandleLostGeneration(const generation_lost& lost,
                                              const generation_request& request,
                                              const target_spec& target,
                                              const output_observer& observer,
                                              audit_record& record,
                                              token_sink& sink) const {
  i_request_limits& limits = services_.node->limits();
  if (lost.may_have_run())
    record.verdict = run_verdict::may_have_run;
  if (lost.target_crashed())
    limits.AddCrash(observer.Suspects(), target.id);
  services_.node->admission().OnTargetFailure(target.id);
  const request_error error(error_code::target_failed, record.verdict,
                            lost.what());
  if (record.tokens > 0) {
    // The caller already has tokens of this generation: the tokens of a retry
    // would not continue them, so the stream ends with an error.
    record.result = ErrorCodeName(error.code());
    std::visit([&](auto& s) { s.Fail(error); }, sink);
    return;
  }
  if (const auto found = limits.FindQuarantine(request.Identity()))
    ThrowQuarantined(*found, record.verdict);
  if (!limits.TryConsumeRetry())
    throw error;
}

void generation_service::Resume(const resume_point& point,
                                audit_record& record,
                                i_http_responder& responder) {
  const auto target = FindTarget(point.target);
  if (!target)
    throw request_error(error_code::generation_gone, run_verdict::may_have_run,
                        "target of the generation is no longer configured");
  record.generation = point.generation;
  record.target = point.target.text();
  record.first_offset = point.offset;
  record.verdict = run_verdict::may_have_run;
  token_sink sink =
      streaming_sink(responder, *services_.keys, record.request_id);
  generation_stream stream(*services_.http, *services_.clock, *target,
                           point.generation, record.request_id, point.format);
  try {
    stream.ResumeAt(point.offset);
    RelayTokens(stream, point, *target, {"", "", settings_.domain},
                services_.clock->Now(), nullptr, nullptr, record, sink);
  } catch (const generation_lost& lost) {
    const request_error error(error_code::generation_gone,
                              run_verdict::may_have_run, lost.what());
    if (!responder.HasStarted())
      throw error;
    record.result = ErrorCodeName(error.code());
    std::visit([&](auto& s) { s.Fail(error); }, sink);
  }
}

std::optional<target_spec> generation_service::FindTarget(
    const target_id& id) const {
  const auto configuration = services_.node->status().Configuration();
  for (const target_spec& target : configuration->body.targets) {
    if (target.id == id)
      return target;
  }
  return std::nullopt;
}

}  // namespace wist
