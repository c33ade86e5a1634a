#ifndef ENTRY_INTERNAL_REFUSAL_H_
#define ENTRY_INTERNAL_REFUSAL_H_

#include <string>

#include "framework/base/i_clock.h"
#include "framework/http/i_http_server.h"
#include "verdict/verdict_types.h"

namespace wist {

// Returns the JSON text of an error: code, verdict, message, time of retry.
std::string ErrorText(const request_error& error);

// Sends an error as a whole answer.
void SendRefusal(const request_error& error,
                 const std::string& request_id,
                 const i_clock& clock,
                 i_http_responder& responder);

// Returns the last event of a stream that ends early.
std::string ErrorEvent(const request_error& error);

// Returns the calendar time that corresponds to the local time `at`.
calendar_time ToCalendar(timestamp at, const i_clock& clock);

}  // namespace wist

#endif  // ENTRY_INTERNAL_REFUSAL_H_
