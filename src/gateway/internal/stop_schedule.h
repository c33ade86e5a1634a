#ifndef GATEWAY_INTERNAL_STOP_SCHEDULE_H_
#define GATEWAY_INTERNAL_STOP_SCHEDULE_H_

#include <compare>
#include <cstddef>

#include "framework/base/time_types.h"

namespace wist {

// Deadlines of a graceful stop.
struct stop_schedule {
  timestamp accept_deadline;  // Until then new requests are accepted.
  timestamp answer_deadline;  // Requests still in progress are answered.
  timestamp exit_deadline;    // The process ends, whatever is left.

  auto operator<=>(const stop_schedule&) const = default;
};

// `stop_limit` is the time from the stop signal until the process is killed.
stop_schedule MakeStopSchedule(timestamp signalled_at, milliseconds stop_limit);

enum class stop_step {
  accept,  // Serve as before.
  drain,   // Close connections without a request.
  answer,  // As `drain`, and answer the requests in progress.
  exit,
};

// `open_channels` counts the callers' channels, also those that were closed and
// still send what was written to them.
stop_step NextStopStep(const stop_schedule& schedule,
                       timestamp now,
                       std::size_t open_channels);

}  // namespace wist

#endif  // GATEWAY_INTERNAL_STOP_SCHEDULE_H_
