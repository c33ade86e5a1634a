#ifndef GATEWAY_TESTS_MOCKS_PLAIN_DIALECT_H_
#define GATEWAY_TESTS_MOCKS_PLAIN_DIALECT_H_

#include <new>
#include <sstream>
#include <string>

#include "gateway/i_dialect.h"

namespace wist {

// Minimal dialect for tests: short header names, and a refusal's status depends
// only on its verdict.
class plain_dialect : public i_dialect {
 public:
  std::variant<caller_request, error_code> DecodeRequest(
      http_request_message message) const override {
    caller_request request;
    request.id = std::string(message.Header("Id"));
    request.host = std::string(message.Header("Host"));
    request.key = std::string(message.Header("Key"));
    const std::string time(message.Header("Time"));
    if (!time.empty())
      request.time_left = milliseconds(std::stoi(time));
    const std::string minimum(message.Header(kMinimumConfigurationHeader));
    if (!minimum.empty())
      request.minimum_configuration = std::stoi(minimum);
    const std::string tokens(message.Header("Tokens"));
    const bool long_run = !message.Header("Long").empty();
    if (!tokens.empty())
      request.generation = generation_parameters{std::stoi(tokens), 1000,
                                                 long_run ? 500 : 50, ""};
    // Parts are listed as "a b c"; all are shared.
    std::istringstream parts{std::string(message.Header("Parts"))};
    for (std::string part; parts >> part;)
      request.shared_prompt_parts.push_back(part);
    request.message = std::move(message);
    return request;
  }

  std::string EncodeRefusal(const std::string&,
                            const refusal& refused,
                            bool) const override {
    const int status = refused.verdict == run_verdict::not_run ? 503 : 502;
    std::vector<http_header> headers = {
        {"Code", std::string(ErrorCodeName(refused.code))}};
    if (refused.retry_after) {
      headers.push_back(
          {"Again", std::to_string(refused.retry_after->count())});
    }
    if (refused.other_instance_may_serve)
      headers.push_back({kTryOtherInstanceHeader, "1"});
    return EncodeHttpResponse(status, headers, "");
  }

  std::string EncodeRelay(const caller_request& request,
                          milliseconds time_left,
                          std::int64_t configuration) const override {
    http_request_message sent = request.message;
    std::erase_if(sent.headers, [](const http_header& header) {
      return header.name == "Content-Length" || header.name == "Time";
    });
    sent.headers.push_back({"Time", std::to_string(time_left.count())});
    sent.headers.push_back(
        {kMinimumConfigurationHeader, std::to_string(configuration)});
    return EncodeHttpRequest(sent);
  }

  std::string EncodeDispatch(const caller_request& request,
                             const target_dispatch& dispatch) const override {
    http_request_message sent = request.message;
    sent.headers = {{"Id", request.id},
                    {"To", dispatch.target.id.text()},
                    {"Left", std::to_string(dispatch.time_left.count())}};
    if (dispatch.kv_cache) {
      sent.headers.push_back({"Memory", dispatch.kv_cache->handle});
    }
    if (dispatch.kv_cache || !dispatch.last_event_id.empty())
      sent.headers.push_back({"After", dispatch.last_event_id});
    if (dispatch.backup_address)
      sent.headers.push_back({"Backup", dispatch.backup_address->host});
    return EncodeHttpRequest(sent);
  }

  bool IsResponseTo(const http_response_head& head,
                    const std::string& id,
                    bool) const override {
    return head.Header("Id") == id;
  }

  bool NamesRequest(const http_response_head& head) const override {
    return !head.Header("Id").empty();
  }

  response_classification ClassifyResponse(
      const http_response_head& head) const override {
    response_classification classification;
    classification.is_event_stream = !head.Header("Events").empty();
    if (!head.Header("Not-Run").empty())
      classification.kind = response_kind::not_run;
    else if (head.status >= 500)
      classification.kind = response_kind::failure;
    else if (!head.Header("Signed").empty())
      classification.kind = response_kind::success;
    else
      classification.broken_rule = "signature";
    return classification;
  }

  target_signals DecodeSignals(const http_response_head& head) const override {
    target_signals signals;
    signals.is_leaving = !head.Header("Leaving").empty();
    const std::string pause(head.Header("Pause"));
    if (!pause.empty())
      signals.pause = milliseconds(std::stoi(pause));
    signals.is_full = head.status == 503 && !head.Header("Not-Run").empty();
    const std::string tolerated(head.Header("Brittle"));
    signals.has_invalid_tolerance = tolerated == "unreadable";
    if (!tolerated.empty())
      signals.tolerated_refusals =
          signals.has_invalid_tolerance ? 0 : std::stoi(tolerated);
    return signals;
  }

  std::vector<http_header> CallerHeaders(
      const http_response_head& head) const override {
    if (!head.Header("Throws").empty())
      throw std::bad_alloc();
    return {{"Id", std::string(head.Header("Id"))}};
  }

  std::string EncodeMoveRequest(const target_entry&,
                                const move_request& move) const override {
    http_request_message call;
    call.method = "POST";
    call.target = (move.stops_run ? "/stop/" : "/move/") + move.request_id +
                  "/" + move.receiver.host;
    return EncodeHttpRequest(call);
  }

  std::string EncodeReleaseRequest(const target_entry&,
                                   const std::string& handle) const override {
    http_request_message call;
    call.method = "DELETE";
    call.target = "/copy/" + handle;
    return EncodeHttpRequest(call);
  }

  move_response DecodeMoveResponse(int status,
                                   const std::string& body) const override {
    return {status, body};
  }

  std::string OperatorPrefix() const override { return "operator/"; }
  std::string TargetPrefix() const override { return "targets/"; }
  bool IsConfigurationKey(const std::string&) const override { return false; }
  std::optional<domain_id> EvacuatedDomain(const std::string&) const override {
    return std::nullopt;
  }
  routing_configuration DecodeConfiguration(const std::string&) const override {
    return {};
  }
  std::optional<target_entry> DecodeTarget(const std::string&,
                                           const std::string&) const override {
    return std::nullopt;
  }
  target_id TargetIdFromKey(const std::string& key) const override {
    return target_id(key);
  }

  // A request is "SERVICE VERSION SECONDS"; a status is its state, version,
  // revision, stage, share and duration.
  std::optional<service_id> RolloutRequestService(
      const std::string& key) const override {
    if (!key.starts_with("operator/rollout/"))
      return std::nullopt;
    return service_id(key.substr(17));
  }
  std::optional<service_id> RolloutStatusService(
      const std::string& key) const override {
    if (!key.starts_with("status/"))
      return std::nullopt;
    return service_id(key.substr(7));
  }
  std::string RolloutRequestKey(const service_id& service) const override {
    return "operator/rollout/" + service.text();
  }
  std::string RolloutStatusKey(const service_id& service) const override {
    return "status/" + service.text();
  }
  decoded_rollout_request DecodeRolloutRequest(
      const std::string& value) const override {
    std::istringstream fields(value);
    rollout_request request;
    std::string service;
    if (fields >> service >> request.target >> request.duration_s) {
      request.service = service_id(service);
      return request;
    }
    return malformed_rollout_request{"unreadable"};
  }
  std::string EncodeRolloutStatus(const rollout_status& status) const override {
    return std::to_string(static_cast<int>(status.state)) + " " +
           status.target + " " + std::to_string(status.request_revision) + " " +
           std::to_string(static_cast<int>(status.stage)) + " " +
           std::to_string(status.share) + " " +
           std::to_string(status.duration_s);
  }
  std::optional<rollout_status> DecodeRolloutStatus(
      const std::string& value) const override {
    std::istringstream fields(value);
    rollout_status status;
    int state = 0;
    int stage = 0;
    if (!(fields >> state >> status.target >> status.request_revision >>
          stage >> status.share >> status.duration_s))
      return std::nullopt;
    status.state = static_cast<rollout_state>(state);
    status.stage = static_cast<rollout_stage>(stage);
    return status;
  }
};

}  // namespace wist

#endif  // GATEWAY_TESTS_MOCKS_PLAIN_DIALECT_H_
