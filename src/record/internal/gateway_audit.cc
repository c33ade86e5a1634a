#include "record/internal/gateway_audit.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace wist {

using nlohmann::json;

void gateway_auditor::Add(const json& line) {
  const std::string event = line.value("event", "");
  if (event == "request" && line.contains("request_id"))
    return AddRequest(line);
  if (event == "configuration" && line.contains("replaces"))
    return AddConfiguration(line);
  // A restarted instance may begin with an older version, if the store was
  // restored to an older state.
  if (event == "start" && line.contains("instance"))
    newest_versions_.erase(line.at("instance").get<std::string>());
}

void gateway_auditor::AddRequest(const json& line) {
  const auto request = line.at("request_id").get<std::string>();
  if (!requests_.insert(request).second)
    AddFinding(finding_kind::request_counted_twice, request,
               "request is logged more than once");
  const std::string verdict = line.value("verdict", "");
  const auto sends = line.value("sends", std::int64_t{0});
  const auto events = line.value("events", std::int64_t{0});
  events_ += events;
  if (verdict == "not_run" && events > 0)
    AddFinding(
        finding_kind::false_not_run, request,
        fmt::format("{} events were sent although the verdict is not_run",
                    events));
  if (verdict != "not_run" && sends == 0)
    AddFinding(finding_kind::ran_without_dispatch, request,
               "request was sent to no target, but its verdict is not not_run");
}

void gateway_auditor::AddConfiguration(const json& line) {
  const auto instance = line.at("source").get<std::string>();
  const auto version = line.at("version").get<std::int64_t>();
  const auto [newest, is_first] =
      newest_versions_.try_emplace(instance, version);
  if (!is_first && version < newest->second)
    AddFinding(
        finding_kind::configuration_went_back, instance,
        fmt::format("version {} follows version {}", version, newest->second));
  newest->second = std::max(newest->second, version);
}

void gateway_auditor::AddFinding(finding_kind kind,
                                 const std::string& subject,
                                 const std::string& text) {
  findings_.push_back({kind, subject, text});
}

void gateway_auditor::AddTo(audit_report& report) const {
  report.gateway_requests = static_cast<std::int64_t>(requests_.size());
  report.gateway_events = events_;
  report.findings.insert(report.findings.end(), findings_.begin(),
                         findings_.end());
}

}  // namespace wist
