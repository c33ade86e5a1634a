#ifndef FRAMEWORK_NET_TESTS_MOCKS_VIRTUAL_SCHEDULER_H_
#define FRAMEWORK_NET_TESTS_MOCKS_VIRTUAL_SCHEDULER_H_

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "framework/net/i_scheduler.h"

namespace wist {

// An i_scheduler whose time advances only when a test calls Advance.
class virtual_scheduler : public i_scheduler {
 public:
  timestamp Now() const override { return now_; }

  std::unique_ptr<i_timer> RunAt(timestamp deadline,
                                 std::function<void()> task) override {
    const key at{std::max(deadline, now_), next_task_number_++};
    (*tasks_)[at] = std::move(task);
    return std::make_unique<timer>(tasks_, at);
  }

  // Advances the time by `span` and runs the tasks that become due, in order of
  // their deadlines.
  void Advance(microseconds span) {
    const timestamp end = now_ + span;
    while (!tasks_->empty() && tasks_->begin()->first.first <= end) {
      const auto first = tasks_->begin();
      now_ = std::max(now_, first->first.first);
      const auto task = std::move(first->second);
      tasks_->erase(first);
      task();
    }
    now_ = end;
  }

  // Advances the time without running tasks, as while a process is paused.
  void Pause(microseconds span) { now_ += span; }

 private:
  using key = std::pair<timestamp, std::uint64_t>;
  using task_map = std::map<key, std::function<void()>>;

  class timer final : public i_timer {
   public:
    timer(std::shared_ptr<task_map> tasks, key at)
        : tasks_(std::move(tasks)), at_(at) {}
    ~timer() override { tasks_->erase(at_); }

   private:
    const std::shared_ptr<task_map> tasks_;
    const key at_;
  };

  timestamp now_{};
  std::uint64_t next_task_number_ = 0;
  const std::shared_ptr<task_map> tasks_ = std::make_shared<task_map>();
};

}  // namespace wist

#endif  // FRAMEWORK_NET_TESTS_MOCKS_VIRTUAL_SCHEDULER_H_
