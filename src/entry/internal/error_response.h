#ifndef ENTRY_INTERNAL_ERROR_RESPONSE_H_
#define ENTRY_INTERNAL_ERROR_RESPONSE_H_

#include <string>

#include "framework/base/i_clock.h"
#include "framework/http/i_http_server.h"
#include "verdict/verdict_types.h"

namespace wist {

// Returns the error as JSON: code, verdict, message and retry time, if any.
std::string ErrorJson(const request_error& error);

// Sends an error as a complete HTTP response.
void SendErrorResponse(const request_error& error,
                       const std::string& request_id,
                       const i_clock& clock,
                       i_http_responder& responder);

// Returns the server-sent event that ends a stream with an error.
std::string ErrorEvent(const request_error& error);

// Converts a time of the monotonic clock to calendar time.
calendar_time ToCalendarTime(timestamp at, const i_clock& clock);

}  // namespace wist

#endif  // ENTRY_INTERNAL_ERROR_RESPONSE_H_
