#ifndef FRAMEWORK_NET_I_SCHEDULER_H_
#define FRAMEWORK_NET_I_SCHEDULER_H_

#include <functional>
#include <memory>

#include "framework/base/time_types.h"

namespace wist {

// A scheduled task. Destroying the timer cancels the task.
class i_timer {
 public:
  virtual ~i_timer() = default;
};

// Runs tasks at given times on a single thread.
class i_scheduler {
 public:
  virtual ~i_scheduler() = default;

  virtual timestamp Now() const = 0;

  // Runs `task` once, at `deadline` or shortly after. `task` never runs before
  // this method has returned.
  [[nodiscard]] virtual std::unique_ptr<i_timer> RunAt(
      timestamp deadline,
      std::function<void()> task) = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_I_SCHEDULER_H_
