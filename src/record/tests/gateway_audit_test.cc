#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "record/record_module.h"

namespace wist {
namespace {

constexpr std::int64_t kGraceMs = 5000;

std::string Line(const std::string& event, const std::string& fields) {
  return fmt::format(
      R"({{"time":"2026-12-04T05:00:01.000Z","level":"info","source":"g1","event":"{}",{}}})",
      event, fields);
}

std::string Request(const std::string& id,
                    const std::string& verdict,
                    int sends,
                    int events = 0) {
  return Line(
      "request",
      fmt::format(R"("request_id":"{}","verdict":"{}","sends":{},"events":{})",
                  id, verdict, sends, events));
}

std::string Configuration(int version, int replaces) {
  return Line("configuration",
              fmt::format(R"("version":{},"replaces":{})", version, replaces));
}

std::vector<finding_kind> AuditFindings(const std::vector<std::string>& lines) {
  std::vector<finding_kind> kinds;
  for (const audit_finding& finding : Audit(lines, kGraceMs).findings)
    kinds.push_back(finding.kind);
  return kinds;
}

using kinds = std::vector<finding_kind>;

}  // namespace

TEST_CASE("a consistent gateway log has no finding") {
  const std::vector<std::string> lines = {
      Line("start", R"("instance":"g1")"), Configuration(3, 0),
      Request("a", "ran", 1, 20),          Request("b", "not_run", 0),
      Request("c", "not_run", 1),          Configuration(7, 3)};
  const audit_report report = Audit(lines, kGraceMs);
  CHECK(report.findings.empty());
  CHECK(report.gateway_requests == 3);
  CHECK(report.gateway_events == 20);
  CHECK(report.requests == 0);
}

TEST_CASE("a request that a gateway logs twice is found") {
  CHECK(AuditFindings({Request("a", "ran", 1), Request("a", "ran", 1)}) ==
        kinds{finding_kind::request_counted_twice});
}

TEST_CASE("a not_run verdict with events is found") {
  CHECK(AuditFindings({Request("a", "not_run", 1, 2)}) ==
        kinds{finding_kind::false_not_run});
}

TEST_CASE("a verdict other than not_run without a dispatch is found") {
  CHECK(AuditFindings({Request("a", "may_have_run", 0)}) ==
        kinds{finding_kind::ran_without_dispatch});
}

TEST_CASE("a configuration that goes back is found, except after a restart") {
  CHECK(AuditFindings({Configuration(7, 3), Configuration(5, 7)}) ==
        kinds{finding_kind::configuration_went_back});
  CHECK(AuditFindings({Configuration(7, 3), Line("start", R"("instance":"g1")"),
                       Configuration(5, 0)})
            .empty());
}

}  // namespace wist
