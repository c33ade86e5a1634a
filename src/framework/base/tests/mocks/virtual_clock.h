#ifndef FRAMEWORK_BASE_TESTS_MOCKS_VIRTUAL_CLOCK_H_
#define FRAMEWORK_BASE_TESTS_MOCKS_VIRTUAL_CLOCK_H_

#include "framework/base/i_clock.h"

namespace wist {

// A clock that advances only when a test calls Advance.
class virtual_clock final : public i_clock {
 public:
  timestamp Now() const override { return now_; }
  calendar_time CalendarNow() const override { return calendar_now_; }

  void Advance(microseconds span) {
    now_ += span;
    calendar_now_ += std::chrono::floor<milliseconds>(span);
  }

 private:
  timestamp now_{seconds(1000)};
  calendar_time calendar_now_{seconds(1'700'000'000)};
};

}  // namespace wist

#endif  // FRAMEWORK_BASE_TESTS_MOCKS_VIRTUAL_CLOCK_H_
