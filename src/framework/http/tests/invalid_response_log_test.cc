#include "framework/http/invalid_response_log.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

// Guards against a log that a target in trouble fills.

using namespace wist;

namespace {

class line_counter final : public i_logger {
 public:
  void Write(log_level level,
             std::string_view event,
             const log_fields& fields) override {
    CHECK(level == log_level::warning);
    CHECK(event == "invalid_response");
    lines.push_back(fields);
  }

  std::vector<log_fields> lines;
};

struct fixture {
  void Report(int count) {
    for (int i = 0; i < count; ++i)
      log.Report({{"t1", "r7"}, "status_code"}, now);
  }

  std::int64_t LastNotLogged() const {
    return std::get<std::int64_t>(logger.lines.back().at(3).value);
  }

  line_counter logger;
  std::map<std::string, int> counts;
  invalid_response_log log{logger,
                           [this](const std::string& rule) { ++counts[rule]; }};
  timestamp now{seconds(1000)};
};

}  // namespace

TEST_CASE("an invalid response is logged with its target, request and rule") {
  fixture f;
  f.Report(1);
  REQUIRE(f.logger.lines.size() == 1);
  const log_fields& fields = f.logger.lines[0];
  CHECK(std::get<std::string>(fields.at(0).value) == "t1");
  CHECK(std::get<std::string>(fields.at(1).value) == "r7");
  CHECK(std::get<std::string>(fields.at(2).value) == "status_code");
  CHECK(f.LastNotLogged() == 0);
}

TEST_CASE("all invalid responses are counted and few of them are logged") {
  fixture f;
  f.Report(1000);
  CHECK(f.counts["status_code"] == 1000);
  CHECK(f.logger.lines.size() == 10);
  f.now += milliseconds(999);
  f.Report(1);
  CHECK(f.logger.lines.size() == 10);
  f.now += milliseconds(1);
  f.Report(1);
  CHECK(f.logger.lines.size() == 11);
  CHECK(f.LastNotLogged() == 991);
  f.Report(1);
  CHECK(f.LastNotLogged() == 0);
}
