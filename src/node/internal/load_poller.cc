#include "node/internal/load_poller.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace wist {
namespace {

constexpr milliseconds kPollTimeout{500};

// An older report is of no use, and its time may be out of range.
constexpr milliseconds kMaxAge{3'600'000};

// All whole numbers up to this one can be represented as doubles.
constexpr double kMaxExact = 9'007'199'254'740'992.0;  // 2^53

// Returns the field if it is a whole number from 0 to `max`.
template <typename Integer>
std::optional<Integer> Count(
    const nlohmann::json& object,
    const char* name,
    Integer max = std::numeric_limits<Integer>::max()) {
  const auto found = object.find(name);
  if (found == object.end())
    return std::nullopt;
  if (found->is_number_float()) {
    const double value = found->get<double>();
    if (!(value >= 0 && value <= std::min(kMaxExact, static_cast<double>(max))))
      return std::nullopt;
    const auto whole = static_cast<Integer>(value);
    return static_cast<double>(whole) == value ? std::optional(whole)
                                               : std::nullopt;
  }
  if (!found->is_number_unsigned())
    return std::nullopt;
  const auto value = found->get<std::uint64_t>();
  if (value > static_cast<std::uint64_t>(max))
    return std::nullopt;
  return static_cast<Integer>(value);
}

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
  const auto age_ms = Count<std::int64_t>(object, "age_ms", kMaxAge.count());
  const auto running = Count<std::int32_t>(object, "running");
  const auto waiting = Count<std::int32_t>(object, "waiting");
  const auto memory_used = Count<std::int64_t>(object, "memory_used");
  const auto memory_total = Count<std::int64_t>(object, "memory_total");
  const auto cold = object.find("cold");
  if (!age_ms || !running || !waiting || !memory_used || !memory_total ||
      cold == object.end() || !cold->is_boolean())
    return std::nullopt;
  target_report report;
  // The age counts from the start of the call, so that a delayed response makes
  // the report look older and never newer.
  report.taken_at = called_at - milliseconds(*age_ms);
  report.running = *running;
  report.waiting = *waiting;
  report.memory_used = *memory_used;
  report.memory_total = *memory_total;
  report.cold = cold->get<bool>();
  return report;
}

}  // namespace wist
