#ifndef FRAMEWORK_NET_I_SCHEDULER_H_
#define FRAMEWORK_NET_I_SCHEDULER_H_

#include <functional>
#include <memory>

#include "framework/base/time_types.h"

namespace wist {

// A pending call; destroying it cancels the call.
class i_timer {
 public:
  virtual ~i_timer() = default;
};

// Runs tasks at given times, all on one thread.
class i_scheduler {
 public:
  virtual ~i_scheduler() = default;

  virtual timestamp Now() const = 0;

  // Runs `task` once at `deadline` or soon after, never from within this call.
  [[nodiscard]] virtual std::unique_ptr<i_timer> RunAt(
      timestamp deadline,
      std::function<void()> task) = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_I_SCHEDULER_H_
