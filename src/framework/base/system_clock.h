#ifndef FRAMEWORK_BASE_SYSTEM_CLOCK_H_
#define FRAMEWORK_BASE_SYSTEM_CLOCK_H_

#include <memory>

#include "framework/base/i_clock.h"

namespace wist {

// Returns a clock that reads the operating system's clocks. Thread-safe.
std::shared_ptr<const i_clock> MakeSystemClock();

}  // namespace wist

#endif  // FRAMEWORK_BASE_SYSTEM_CLOCK_H_
