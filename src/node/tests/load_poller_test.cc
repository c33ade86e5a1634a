#include "node/internal/load_poller.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

#include "framework/base/tests/mocks/virtual_clock.h"

// Guards against a load report that a target in trouble sends with numbers that
// no report can hold.

using namespace wist;

namespace {

class scripted_client final : public i_http_client {
 public:
  explicit scripted_client(std::string body) : body_(std::move(body)) {}

  http_response Call(const http_address&,
                     const http_request&,
                     timestamp) override {
    return {200, {}, body_};
  }
  std::unique_ptr<i_http_stream> Open(const http_address&,
                                      const http_request&,
                                      timestamp,
                                      milliseconds) override {
    return nullptr;
  }

 private:
  const std::string body_;
};

std::optional<target_report> Poll(const std::string& body,
                                  const virtual_clock& clock = {}) {
  scripted_client client(body);
  return PollLoad(client, clock, {});
}

std::string Report(const std::string& age,
                   const std::string& running = "1",
                   const std::string& cold = "false") {
  return R"({"age_ms":)" + age + R"(,"running":)" + running +
         R"(,"waiting":2,"memory_used":30,"memory_total":40,"cold":)" + cold +
         "}";
}

}  // namespace

TEST_CASE("a load report is read") {
  const virtual_clock clock;
  const auto report = Poll(Report("20"), clock);
  REQUIRE(report);
  CHECK(report->taken_at == clock.Now() - milliseconds(20));
  CHECK(report->running == 1);
  CHECK(report->waiting == 2);
  CHECK(report->memory_used == 30);
  CHECK(report->memory_total == 40);
  CHECK_FALSE(report->cold);
  CHECK(Poll(Report("20.0", "1e0"), clock) == report);
}

TEST_CASE("a load report with an impossible number is none") {
  for (const char* number :
       {"-1", "1.5", "1e300", "4294967297", "18446744073709551615",
        "18446744073709551616", "\"1\"", "null", "[]"}) {
    INFO(number);
    CHECK_FALSE(Poll(Report(number)));
    CHECK_FALSE(Poll(Report("20", number)));
  }
  CHECK_FALSE(Poll(Report("20", "1", "0")));
  for (const char* body : {"", "nonsense", "[]", "{}"})
    CHECK_FALSE(Poll(body));
}
