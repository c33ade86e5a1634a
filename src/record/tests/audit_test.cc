#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "record/record_module.h"

namespace wist {
namespace {

std::string Line(int second,
                 const std::string& event,
                 const std::string& fields) {
  return fmt::format(
      R"({{"time":"2026-12-04T05:00:{:02}.000Z","level":"audit","source":"i1","event":"{}",{}}})",
      second, event, fields);
}

std::string Request(const std::string& id,
                    int dispatches,
                    const std::string& verdict,
                    const std::string& extra_fields = "") {
  return Line(1, "request",
              fmt::format(R"("request":"{}","dispatches":{},"verdict":"{}"{})",
                          id, dispatches, verdict, extra_fields));
}

std::string Dispatch(int second,
                     const std::string& id,
                     const std::string& extra_fields = "") {
  return Line(second, "dispatch",
              fmt::format(R"("request":"{}","target_domain":"brest"{})", id,
                          extra_fields));
}

std::string Configuration(int second, int version, const std::string& out) {
  return Line(second, "configuration",
              fmt::format(R"("version":{},"out_domains":"{}")", version, out));
}

bool HasFinding(const std::vector<std::string>& lines, finding_kind kind) {
  const audit_report report = Audit(lines, 3000);
  return std::any_of(report.findings.begin(), report.findings.end(),
                     [&](const auto& f) { return f.kind == kind; });
}

}  // namespace

TEST_CASE("consistent logs have no finding") {
  const audit_report report =
      Audit({Configuration(0, 1, ""), Dispatch(1, "a"), Request("a", 1, "ran"),
             R"({"time":"x","level":"info","source":"i1","event":"e"})"},
            3000);
  CHECK(report.findings.empty());
  CHECK(report.requests == 1);
  CHECK(report.dispatches == 1);
}

TEST_CASE("a request that is logged twice is found") {
  CHECK(HasFinding({Request("a", 0, "not_run"), Request("a", 0, "not_run")},
                   finding_kind::request_counted_twice));
}

TEST_CASE("a dispatch that is missing from its request line is found") {
  CHECK(HasFinding({Dispatch(1, "a"), Request("a", 0, "not_run")},
                   finding_kind::dispatch_without_request));
}

TEST_CASE("a key that ran under two claims is found") {
  const std::string first = R"(,"key":"k","nonce":"n1")";
  const std::string second = R"(,"key":"k","nonce":"n2")";
  CHECK(HasFinding({Dispatch(1, "a", first), Dispatch(2, "b", second)},
                   finding_kind::key_ran_twice));
  CHECK_FALSE(HasFinding(
      {Dispatch(1, "a", first), Dispatch(2, "b", second),
       Request("a", 1, "not_run", first), Request("b", 1, "ran", second)},
      finding_kind::key_ran_twice));
}

TEST_CASE("a not_run verdict with tokens is found") {
  CHECK(HasFinding({Request("a", 0, "not_run", R"(,"tokens":3)")},
                   finding_kind::false_not_run));
}

TEST_CASE("a dispatch into a domain that is out is found") {
  const std::vector<std::string> lines = {Configuration(0, 1, ""),
                                          Configuration(2, 2, "brest")};
  auto after_grace = lines;
  after_grace.push_back(Dispatch(6, "a"));
  CHECK(HasFinding(after_grace, finding_kind::dispatch_into_out_domain));
  auto within_grace = lines;
  within_grace.push_back(Dispatch(4, "a"));
  CHECK_FALSE(HasFinding(within_grace, finding_kind::dispatch_into_out_domain));
  auto after_return = lines;
  after_return.push_back(Configuration(5, 3, ""));
  after_return.push_back(Dispatch(9, "a"));
  CHECK_FALSE(HasFinding(after_return, finding_kind::dispatch_into_out_domain));
}

TEST_CASE("a line that cannot be parsed is found") {
  CHECK(HasFinding({"not a line"}, finding_kind::unreadable_line));
}

}  // namespace wist
