#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "record/record_module.h"

namespace wist {
namespace {

std::string Line(int second,
                 const std::string& event,
                 const std::string& rest) {
  return fmt::format(
      R"({{"time":"2026-12-04T05:00:{:02}.000Z","level":"audit","source":"i1","event":"{}",{}}})",
      second, event, rest);
}

std::string Request(const std::string& id,
                    int dispatches,
                    const std::string& verdict,
                    const std::string& more = "") {
  return Line(1, "request",
              fmt::format(R"("request":"{}","dispatches":{},"verdict":"{}"{})",
                          id, dispatches, verdict, more));
}

std::string Dispatch(int second,
                     const std::string& id,
                     const std::string& more = "") {
  return Line(
      second, "dispatch",
      fmt::format(R"("request":"{}","target_domain":"brest"{})", id, more));
}

std::string Configuration(int second, int version, const std::string& out) {
  return Line(second, "configuration",
              fmt::format(R"("version":{},"out_domains":"{}")", version, out));
}

bool Finds(const std::vector<std::string>& lines, finding_kind kind) {
  const audit_report report = Audit(lines, 3000);
  return std::any_of(report.findings.begin(), report.findings.end(),
                     [&](const auto& f) { return f.kind == kind; });
}

}  // namespace

TEST_CASE("a faultless record has no finding") {
  const audit_report report =
      Audit({Configuration(0, 1, ""), Dispatch(1, "a"), Request("a", 1, "ran"),
             R"({"time":"x","level":"info","source":"i1","event":"e"})"},
            3000);
  CHECK(report.findings.empty());
  CHECK(report.requests == 1);
  CHECK(report.dispatches == 1);
}

TEST_CASE("a request that is told of twice is found") {
  CHECK(Finds({Request("a", 0, "not_run"), Request("a", 0, "not_run")},
              finding_kind::request_counted_twice));
}

TEST_CASE("a dispatch that its request does not tell is found") {
  CHECK(Finds({Dispatch(1, "a"), Request("a", 0, "not_run")},
              finding_kind::dispatch_without_request));
}

TEST_CASE("a key that two claims ran is found") {
  const std::string first = R"(,"key":"k","nonce":"n1")";
  const std::string second = R"(,"key":"k","nonce":"n2")";
  CHECK(Finds({Dispatch(1, "a", first), Dispatch(2, "b", second)},
              finding_kind::key_ran_twice));
  CHECK_FALSE(
      Finds({Dispatch(1, "a", first), Dispatch(2, "b", second),
             Request("a", 1, "not_run", first), Request("b", 1, "ran", second)},
            finding_kind::key_ran_twice));
}

TEST_CASE("a false not_run is found") {
  CHECK(Finds({Request("a", 0, "not_run", R"(,"tokens":3)")},
              finding_kind::false_not_run));
}

TEST_CASE("a dispatch into a domain that was out is found") {
  const std::vector<std::string> lines = {Configuration(0, 1, ""),
                                          Configuration(2, 2, "brest")};
  auto late = lines;
  late.push_back(Dispatch(6, "a"));
  CHECK(Finds(late, finding_kind::dispatch_into_out_domain));
  auto in_time = lines;
  in_time.push_back(Dispatch(4, "a"));
  CHECK_FALSE(Finds(in_time, finding_kind::dispatch_into_out_domain));
  auto returned = lines;
  returned.push_back(Configuration(5, 3, ""));
  returned.push_back(Dispatch(9, "a"));
  CHECK_FALSE(Finds(returned, finding_kind::dispatch_into_out_domain));
}

TEST_CASE("a line that is no log line is found") {
  CHECK(Finds({"not a line"}, finding_kind::unreadable_line));
}

}  // namespace wist
