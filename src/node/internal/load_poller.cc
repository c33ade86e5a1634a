#include "node/internal/load_poller.h"

#include <nlohmann/json.hpp>

namespace wist {
namespace {

constexpr milliseconds kPollLimit{500};

}  // namespace

std::optional<target_report> PollLoad(i_http_client& client,
                                      const i_clock& clock,
                                      const target_spec& target) {
  const timestamp asked_at = clock.Now();
  const http_response response = client.Call(
      {target.host, target.port}, {.path = "/load"}, asked_at + kPollLimit);
  const auto answer = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || !answer.is_object())
    return std::nullopt;
  try {
    target_report report;
    // Counted from before the call: a slow answer is taken for an older one.
    report.taken_at =
        asked_at - milliseconds(answer.at("age_ms").get<std::int64_t>());
    report.running = answer.at("running").get<std::int32_t>();
    report.waiting = answer.at("waiting").get<std::int32_t>();
    report.memory_used = answer.at("memory_used").get<std::int64_t>();
    report.memory_total = answer.at("memory_total").get<std::int64_t>();
    report.cold = answer.at("cold").get<bool>();
    return report;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wist
