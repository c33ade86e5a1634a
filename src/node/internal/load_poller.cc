#include "node/internal/load_poller.h"

#include <nlohmann/json.hpp>

namespace wist {
namespace {

constexpr milliseconds kPollTimeout{500};

}  // namespace

std::optional<target_report> PollLoad(i_http_client& client,
                                      const i_clock& clock,
                                      const target_spec& target) {
  const timestamp called_at = clock.Now();
  const http_response response =
      client.Call({target.host, target.port},
                  {.path = "/load", .label = {target.id.text(), ""}},
                  called_at + kPollTimeout);
  const auto object = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || !object.is_object())
    return std::nullopt;
  try {
    target_report report;
    // The age counts from the start of the call, so that a delayed response
    // makes the report look older and never newer.
    report.taken_at =
        called_at - milliseconds(object.at("age_ms").get<std::int64_t>());
    report.running = object.at("running").get<std::int32_t>();
    report.waiting = object.at("waiting").get<std::int32_t>();
    report.memory_used = object.at("memory_used").get<std::int64_t>();
    report.memory_total = object.at("memory_total").get<std::int64_t>();
    report.cold = object.at("cold").get<bool>();
    return report;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wist
