#include "framework/base/system_clock.h"

#include <time.h>

namespace wist {
namespace {

class system_clock final : public i_clock {
 public:
  // NOTE: CLOCK_BOOTTIME includes the time an instance was suspended. With
  // CLOCK_MONOTONIC a lease would outlive its deadline by that time.
  timestamp Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return timestamp(seconds(now.tv_sec) + microseconds(now.tv_nsec / 1000));
  }

  calendar_time CalendarNow() const override {
    return std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
  }
};

}  // namespace

std::shared_ptr<const i_clock> MakeSystemClock() {
  return std::make_shared<system_clock>();
}

}  // namespace wist
