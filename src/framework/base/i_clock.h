#ifndef FRAMEWORK_BASE_I_CLOCK_H_
#define FRAMEWORK_BASE_I_CLOCK_H_

#include "framework/base/time_types.h"

namespace wist {

// Source of the current time for deadlines, timeouts and expiry.
class i_clock {
 public:
  virtual ~i_clock() = default;
  virtual timestamp Now() const = 0;
  virtual calendar_time CalendarNow() const = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_BASE_I_CLOCK_H_
