#ifndef FRAMEWORK_BASE_TIME_TYPES_H_
#define FRAMEWORK_BASE_TIME_TYPES_H_

#include <chrono>
#include <cstdint>

namespace wist {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Clock tag for time that never goes backwards and includes the time the system
// was suspended. Time points of different processes are not comparable.
struct monotonic_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = microseconds;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;
};

// A point in this process's monotonic time, in microseconds. Deadlines use this
// type.
using timestamp = monotonic_clock::time_point;

// A point in calendar time, in milliseconds since the Unix epoch. It can jump
// in either direction when the system clock is adjusted.
using calendar_time = std::chrono::sys_time<milliseconds>;

constexpr double ToMilliseconds(microseconds span) {
  return static_cast<double>(span.count()) / 1000.0;
}

}  // namespace wist

#endif  // FRAMEWORK_BASE_TIME_TYPES_H_
