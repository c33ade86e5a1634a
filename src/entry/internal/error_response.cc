#include "entry/internal/error_response.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wist {

std::string ErrorJson(const request_error& error) {
  nlohmann::json object = {{"code", ErrorCodeName(error.code())},
                           {"verdict", VerdictName(error.verdict())},
                           {"message", error.what()}};
  if (error.retry_at())
    object["retry_at_ms"] = error.retry_at()->time_since_epoch().count();
  return nlohmann::json{{"error", object}}.dump();
}

void SendErrorResponse(const request_error& error,
                       const std::string& request_id,
                       const i_clock& clock,
                       i_http_responder& responder) {
  http_response response;
  response.status = HttpStatus(error.code());
  response.body = ErrorJson(error);
  response.headers = {{"X-Request-Id", request_id},
                      {"X-Verdict", std::string(VerdictName(error.verdict()))}};
  if (error.retry_at()) {
    const auto wait = std::chrono::ceil<seconds>(
        std::max(milliseconds(0), *error.retry_at() - clock.CalendarNow()));
    response.headers.push_back({"Retry-After", std::to_string(wait.count())});
  }
  responder.Send(response, "application/json");
}

std::string ErrorEvent(const request_error& error) {
  return "event: error\ndata: " + ErrorJson(error) + "\n\n";
}

calendar_time ToCalendarTime(timestamp at, const i_clock& clock) {
  return clock.CalendarNow() +
         std::chrono::duration_cast<milliseconds>(at - clock.Now());
}

}  // namespace wist
