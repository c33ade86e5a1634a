#include <atomic>
#include <nlohmann/json.hpp>

#include "entry/entry_module.h"
#include "entry/internal/audit_record.h"
#include "entry/internal/caller_request.h"
#include "entry/internal/error_response.h"
#include "entry/internal/generation_service.h"
#include "entry/internal/plain_call_service.h"
#include "framework/base/hashing.h"
#include "streams/resume_token.h"

namespace wist {
namespace {

constexpr std::size_t kRequestIdBytes = 8;

// Another instance may have room at once, and here a slow request ends within
// about this time.
constexpr milliseconds kNoRoomRetryAfter{500};

constexpr std::string_view kPlainServicePathPrefix = "/v1/services/";
constexpr char kJsonContentType[] = "application/json";

class entry_service final : public i_entry_service {
 public:
  entry_service(const entry_service_settings& settings,
                const entry_services& services)
      : settings_(settings),
        services_(services),
        audit_log_(settings, services.logger),
        generations_(settings, services),
        plain_calls_(settings, services) {}

  void Handle(const http_server_request& request,
              i_http_responder& responder) override {
    if (request.path == "/healthz")
      return responder.Send({200, {}, "{\"alive\":true}"}, kJsonContentType);
    if (request.path == "/readyz")
      return SendReadiness(responder);
    if (request.path == "/metrics")
      return SendMetrics(responder);
    if (request.path == "/status")
      return SendStatus(responder);
    if (settings_.test_hooks && request.path == "/test/cut")
      return SimulatePartition(request, responder);
    HandleCaller(request, responder);
  }

  void StopAcceptingRequests() override { stopping_ = true; }
  int InFlight() const override { return in_flight_; }

 private:
  // Counts a request as in flight during its lifetime.
  class in_flight_guard {
   public:
    explicit in_flight_guard(std::atomic<int>& count) : count_(count) {
      ++count_;
    }
    ~in_flight_guard() { --count_; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

   private:
    std::atomic<int>& count_;
  };

  void HandleCaller(const http_server_request& request,
                    i_http_responder& responder) {
    const in_flight_guard guard(in_flight_);
    audit_record record;
    record.request_id = RandomHex(kRequestIdBytes);
    metric_labels labels{"", request.Header("X-Workspace"), settings_.domain};
    try {
      RequireServing();
      if (request.no_room) {
        throw request_error(error_code::overloaded, run_verdict::not_run,
                            "no memory for the request body",
                            services_.clock->CalendarNow() + kNoRoomRetryAfter);
      }
      RouteRequest(request, responder, record, labels);
    } catch (const request_error& error) {
      RejectRequest(error, labels, record, responder);
    } catch (const http_client_disconnected&) {
      record.result = "caller_gone";
      responder.Abort();
    } catch (const std::exception& error) {
      services_.logger->Write(log_level::error, "internal_error",
                              {{"request", record.request_id},
                               {"reason", std::string(error.what())}});
      RejectRequest(
          request_error(error_code::internal, record.verdict, "internal error"),
          labels, record, responder);
    }
    audit_log_.LogRequest(record);
  }

  void RequireServing() const {
    if (stopping_)
      throw request_error(error_code::stopping, run_verdict::not_run,
                          "instance is stopping",
                          services_.clock->CalendarNow());
    if (!services_.node->status().Configuration())
      throw request_error(error_code::not_ready, run_verdict::not_run,
                          "instance has no configuration yet",
                          services_.clock->CalendarNow() + seconds(1));
  }

  void RouteRequest(const http_server_request& request,
                    i_http_responder& responder,
                    audit_record& record,
                    metric_labels& labels) {
    if (request.path.rfind(kPlainServicePathPrefix, 0) == 0)
      return HandlePlainCall(request, responder, record, labels);
    if (request.path != "/v1/completions" &&
        request.path != "/v1/chat/completions")
      throw request_error(error_code::unknown_service, run_verdict::not_run,
                          "unknown path");
    const std::string last_event = request.Header("Last-Event-ID");
    if (!last_event.empty())
      return HandleResume(last_event, responder, record);
    RequirePost(request);
    const generation_request parsed = ParseGenerationRequest(request);
    record.kind = "generation";
    record.workspace = parsed.workspace.text();
    record.service = parsed.service.text();
    labels.service = record.service;
    RequireWorkspace(parsed.workspace);
    RequireGenerationService(parsed.service);
    services_.metrics->OnRequest(labels);
    generations_.Run(parsed, record, responder);
  }

  void HandlePlainCall(const http_server_request& request,
                       i_http_responder& responder,
                       audit_record& record,
                       metric_labels& labels) {
    RequirePost(request);
    const plain_request parsed = ParsePlainRequest(
        request, request.path.substr(kPlainServicePathPrefix.size()));
    record.kind = "plain";
    record.workspace = parsed.workspace.text();
    record.service = parsed.service.text();
    record.key = parsed.key ? parsed.key->text() : "";
    labels.service = record.service;
    RequireWorkspace(parsed.workspace);
    services_.metrics->OnRequest(labels);
    http_response response = plain_calls_.Run(parsed, record);
    response.headers.push_back({"X-Request-Id", record.request_id});
    response.headers.push_back(
        {"X-Verdict", std::string(VerdictName(record.verdict))});
    responder.Send(response, kJsonContentType);
  }

  void HandleResume(const std::string& token,
                    i_http_responder& responder,
                    audit_record& record) {
    record.kind = "resume";
    const auto point = DecodeResumeToken(*services_.keys, token);
    if (!point)
      throw request_error(error_code::bad_resume_token, run_verdict::not_run,
                          "Last-Event-ID is not a valid resume token");
    generations_.Resume(*point, record, responder);
  }

  static void RequirePost(const http_server_request& request) {
    if (request.method != "POST")
      throw request_error(error_code::bad_request, run_verdict::not_run,
                          "method must be POST");
  }

  void RequireWorkspace(const workspace_id& id) const {
    const auto configuration = services_.node->status().Configuration();
    for (const workspace_spec& workspace : configuration->body.workspaces) {
      if (workspace.id == id)
        return;
    }
    throw request_error(error_code::unknown_workspace, run_verdict::not_run,
                        "unknown workspace");
  }

  void RequireGenerationService(const service_id& id) const {
    const auto configuration = services_.node->status().Configuration();
    for (const service_spec& service : configuration->body.services) {
      if (service.id == id && service.kind == service_kind::generation)
        return;
    }
    throw request_error(error_code::unknown_service, run_verdict::not_run,
                        "unknown model");
  }

  void RejectRequest(const request_error& error,
                     const metric_labels& labels,
                     audit_record& record,
                     i_http_responder& responder) {
    record.verdict = error.verdict();
    record.result = ErrorCodeName(error.code());
    services_.metrics->OnRefusal(labels, record.result,
                                 VerdictName(error.verdict()));
    if (responder.HasStarted())
      return responder.Abort();
    SendErrorResponse(error, record.request_id, *services_.clock, responder);
  }

  void SimulatePartition(const http_server_request& request,
                         i_http_responder& responder) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    std::vector<domain_id> domains;
    if (body.is_object()) {
      for (const auto& name : body.value("domains", nlohmann::json::array()))
        domains.emplace_back(name.get<std::string>());
    }
    services_.node->SimulatePartition(domains);
    responder.Send({200, {}, "{}"}, kJsonContentType);
  }

  void SendReadiness(i_http_responder& responder) const {
    const bool ready = !stopping_ && services_.node->status().IsReady();
    responder.Send(
        {ready ? 200 : 503, {}, nlohmann::json{{"ready", ready}}.dump()},
        kJsonContentType);
  }

  void SendMetrics(i_http_responder& responder) const {
    services_.metrics->SetRequestsInFlight(in_flight_);
    services_.metrics->SetControlBytes(
        static_cast<double>(services_.node->status().ControlBytes()));
    responder.Send({200, {}, services_.metrics->ToPrometheusText()},
                   "text/plain");
  }

  void SendStatus(i_http_responder& responder) const {
    const i_node_status& status = services_.node->status();
    const auto configuration = status.Configuration();
    nlohmann::json members = nlohmann::json::array();
    for (const member_record& member : status.LiveMembers()) {
      members.push_back({{"id", member.id.text()},
                         {"domain", member.domain.text()},
                         {"incarnation", member.incarnation}});
    }
    const nlohmann::json body = {
        {"instance", settings_.instance},
        {"domain", settings_.domain},
        {"ready", !stopping_ && status.IsReady()},
        {"in_flight", in_flight_.load()},
        {"configuration", configuration ? configuration->version : 0},
        {"change_id", configuration ? configuration->change_id : ""},
        {"store_fresh", status.StoreIsFresh()},
        {"cold_lease", status.HoldsColdLease()},
        {"members", members}};
    responder.Send({200, {}, body.dump()}, kJsonContentType);
  }

  const entry_service_settings settings_;
  const entry_services services_;
  const audit_log_writer audit_log_;
  generation_service generations_;
  plain_call_service plain_calls_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> in_flight_ = 0;
};

}  // namespace

std::unique_ptr<i_entry_service> MakeEntryService(
    const entry_service_settings& settings,
    const entry_services& services) {
  return std::make_unique<entry_service>(settings, services);
}

}  // namespace wist
