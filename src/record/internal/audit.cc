#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

#include "record/internal/gateway_audit.h"
#include "record/record_module.h"

namespace wist {
namespace {

using json = nlohmann::json;

// A parsed line of the audit log.
struct audit_line {
  std::int64_t at_ms = 0;
  std::string source;
  std::string event;
  std::string request;
  std::string key;
  std::string nonce;
  std::string generation;
  std::string target_domain;
  std::string domain;
  std::string verdict;
  std::string result;
  std::string out_domains;
  std::int64_t configuration = 0;
  std::int64_t dispatches = 0;
  std::int64_t first_offset = 0;
  std::int64_t tokens = 0;
};

// Parses "2026-12-04T05:29:07.123Z" to milliseconds since the epoch.
std::optional<std::int64_t> ParseTime(const std::string& text) {
  std::tm parts{};
  int fraction_ms = 0;
  char end = 0;
  if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3d%c", &parts.tm_year,
                  &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min,
                  &parts.tm_sec, &fraction_ms, &end) != 8 ||
      end != 'Z')
    return std::nullopt;
  parts.tm_year -= 1900;
  parts.tm_mon -= 1;
  return static_cast<std::int64_t>(timegm(&parts)) * 1000 + fraction_ms;
}

// Returns nothing if the line is not of the audit level. Throws if a field is
// missing or has the wrong type.
std::optional<audit_line> ParseLine(const json& object) {
  if (object.value("level", "") != "audit")
    return std::nullopt;
  audit_line line;
  const auto at = ParseTime(object.at("time").get<std::string>());
  if (!at)
    throw std::runtime_error("line has no valid time");
  line.at_ms = *at;
  line.source = object.at("source").get<std::string>();
  line.event = object.at("event").get<std::string>();
  line.request = object.value("request", "");
  line.key = object.value("key", "");
  line.nonce = object.value("nonce", "");
  line.generation = object.value("generation", "");
  line.target_domain = object.value("target_domain", "");
  line.domain = object.value("domain", "");
  line.verdict = object.value("verdict", "");
  line.result = object.value("result", "");
  line.out_domains = object.value("out_domains", "");
  line.configuration =
      object.value(line.event == "configuration" ? "version" : "configuration",
                   std::int64_t{0});
  line.dispatches = object.value("dispatches", std::int64_t{0});
  line.first_offset = object.value("first_offset", std::int64_t{0});
  line.tokens = object.value("tokens", std::int64_t{0});
  return line;
}

std::set<std::string> SplitList(const std::string& text) {
  std::set<std::string> names;
  std::istringstream stream(text);
  for (std::string name; std::getline(stream, name, ',');)
    names.insert(name);
  return names;
}

class auditor {
 public:
  explicit auditor(std::int64_t grace_ms) : grace_ms_(grace_ms) {}

  void Add(const std::string& text) {
    if (text.empty())
      return;
    try {
      const json object = json::parse(text);
      gateway_.Add(object);
      const auto line = ParseLine(object);
      if (!line)
        return;
      if (line->event == "request")
        requests_.push_back(*line);
      else if (line->event == "dispatch")
        dispatches_.push_back(*line);
      else if (line->event == "configuration")
        configurations_.push_back(*line);
    } catch (const std::exception&) {
      AddFinding(finding_kind::unreadable_line, text.substr(0, 40),
                 "line cannot be parsed as a log line");
    }
  }

  audit_report BuildReport() {
    report_.requests = static_cast<std::int64_t>(requests_.size());
    report_.dispatches = static_cast<std::int64_t>(dispatches_.size());
    CheckRequests();
    CheckDispatches();
    CheckKeys();
    CheckOutDomains();
    gateway_.AddTo(report_);
    return report_;
  }

 private:
  void AddFinding(finding_kind kind,
                  const std::string& subject,
                  const std::string& text) {
    report_.findings.push_back({kind, subject, text});
  }

  void CheckRequests() {
    std::set<std::string> seen;
    for (const audit_line& line : requests_) {
      report_.tokens += line.tokens;
      if (!seen.insert(line.request).second)
        AddFinding(finding_kind::request_counted_twice, line.request,
                   "request is logged more than once");
      if (line.verdict == "ran" && line.tokens < 0)
        AddFinding(finding_kind::tokens_not_in_order, line.request,
                   "token count is negative");
    }
  }

  void CheckDispatches() {
    std::map<std::string, std::int64_t> dispatched;
    for (const audit_line& line : dispatches_)
      ++dispatched[line.request];
    for (const audit_line& line : requests_) {
      const std::int64_t count = dispatched[line.request];
      dispatched.erase(line.request);
      if (count != line.dispatches)
        AddFinding(
            finding_kind::dispatch_without_request, line.request,
            fmt::format(
                "{} dispatches are logged, but the request line reports {}",
                count, line.dispatches));
    }
    for (const auto& [request, count] : dispatched) {
      if (count == 0)
        continue;
      // NOTE: an instance that is killed cannot write the request line, so a
      // dispatch without one is not a finding.
      ++report_.unfinished;
    }
  }

  // A key ran twice if requests with two different claim nonces were dispatched
  // for it; a nonce whose request ended as not_run does not count. Also reports
  // requests that returned tokens although their verdict is not_run.
  void CheckKeys() {
    std::map<std::string, std::set<std::string>> nonces;
    for (const audit_line& line : dispatches_) {
      if (!line.key.empty() && !line.nonce.empty())
        nonces[line.key].insert(line.nonce);
    }
    std::map<std::string, std::set<std::string>> ran;
    for (const audit_line& line : requests_) {
      if (line.key.empty() || line.nonce.empty() || line.dispatches == 0)
        continue;
      if (line.verdict != "not_run")
        ran[line.key].insert(line.nonce);
      else
        nonces[line.key].erase(line.nonce);
    }
    report_.keys = static_cast<std::int64_t>(nonces.size());
    for (const auto& [key, dispatched_nonces] : nonces) {
      if (dispatched_nonces.size() > 1)
        AddFinding(finding_kind::key_ran_twice, key,
                   fmt::format("{} claims of the key were dispatched",
                               dispatched_nonces.size()));
    }
    for (const audit_line& line : requests_) {
      if (line.verdict == "not_run" && line.tokens > 0)
        AddFinding(finding_kind::false_not_run, line.request,
                   "request returned tokens although its verdict is not_run");
    }
  }

  // A configuration version counts as in force from the earliest time at which
  // any instance logged it.
  void CheckOutDomains() {
    struct out_domains_change {
      std::int64_t at_ms = 0;
      std::set<std::string> out;
    };
    std::map<std::int64_t, out_domains_change> changes_by_version;
    for (const audit_line& line : configurations_) {
      const auto [found, added] = changes_by_version.try_emplace(
          line.configuration,
          out_domains_change{line.at_ms, SplitList(line.out_domains)});
      found->second.at_ms = std::min(found->second.at_ms, line.at_ms);
    }
    for (const audit_line& line : dispatches_) {
      std::optional<std::int64_t> out_since;
      for (const auto& [version, change] : changes_by_version) {
        if (change.at_ms > line.at_ms)
          break;
        if (!change.out.contains(line.target_domain))
          out_since.reset();
        else if (!out_since)
          out_since = change.at_ms;
      }
      if (out_since && line.at_ms > *out_since + grace_ms_)
        AddFinding(
            finding_kind::dispatch_into_out_domain, line.request,
            fmt::format(
                "sent into failure domain {} {} ms after it was taken out",
                line.target_domain, line.at_ms - *out_since));
    }
  }

  const std::int64_t grace_ms_;
  std::vector<audit_line> requests_;
  std::vector<audit_line> dispatches_;
  std::vector<audit_line> configurations_;
  gateway_auditor gateway_;
  audit_report report_;
};

}  // namespace

std::string_view FindingName(finding_kind kind) {
  switch (kind) {
    case finding_kind::request_counted_twice:
      return "request_counted_twice";
    case finding_kind::dispatch_without_request:
      return "dispatch_without_request";
    case finding_kind::key_ran_twice:
      return "key_ran_twice";
    case finding_kind::false_not_run:
      return "false_not_run";
    case finding_kind::dispatch_into_out_domain:
      return "dispatch_into_out_domain";
    case finding_kind::tokens_not_in_order:
      return "tokens_not_in_order";
    case finding_kind::ran_without_dispatch:
      return "ran_without_dispatch";
    case finding_kind::configuration_went_back:
      return "configuration_went_back";
    case finding_kind::unreadable_line:
      return "unreadable_line";
  }
  return "unknown";
}

audit_report Audit(const std::vector<std::string>& lines,
                   std::int64_t grace_ms) {
  auditor audit(grace_ms);
  for (const std::string& line : lines)
    audit.Add(line);
  return audit.BuildReport();
}

}  // namespace wist
