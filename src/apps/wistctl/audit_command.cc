#include "apps/wistctl/audit_command.h"

#include <fmt/format.h>

#include <fstream>

#include "record/record_module.h"

namespace wist {

int RunAudit(const control_command& command) {
  if (command.arguments.empty())
    throw usage_error("audit needs at least one log file");
  std::vector<std::string> lines;
  for (const std::string& path : command.arguments) {
    std::ifstream file(path);
    if (!file)
      throw usage_error("cannot read " + path);
    for (std::string line; std::getline(file, line);)
      lines.push_back(line);
  }
  const audit_report report = Audit(lines, command.grace_ms);
  fmt::print("requests {}\ndispatches {}\ntokens {}\nkeys {}\nunfinished {}\n",
             report.requests, report.dispatches, report.tokens, report.keys,
             report.unfinished);
  fmt::print("gateway_requests {}\ngateway_events {}\n",
             report.gateway_requests, report.gateway_events);
  for (const audit_finding& finding : report.findings)
    fmt::print("finding {} {}: {}\n", FindingName(finding.kind),
               finding.subject, finding.text);
  fmt::print("findings {}\n", report.findings.size());
  return report.findings.empty() ? 0 : 1;
}

}  // namespace wist
