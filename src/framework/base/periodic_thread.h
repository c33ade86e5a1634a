#ifndef FRAMEWORK_BASE_PERIODIC_THREAD_H_
#define FRAMEWORK_BASE_PERIODIC_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "framework/base/time_types.h"

namespace wist {

// Runs a task on its own thread until destroyed, and waits for `interval` after
// each run. The destructor waits for a run in progress.
class periodic_thread {
 public:
  periodic_thread(milliseconds interval, std::function<void()> task)
      : interval_(interval),
        task_(std::move(task)),
        thread_([this] { Run(); }) {}

  ~periodic_thread() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    stop_.notify_all();
    thread_.join();
  }

  periodic_thread(const periodic_thread&) = delete;
  periodic_thread& operator=(const periodic_thread&) = delete;

 private:
  void Run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      lock.unlock();
      task_();
      lock.lock();
      stop_.wait_for(lock, interval_, [this] { return stopping_; });
    }
  }

  const milliseconds interval_;
  const std::function<void()> task_;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wist

#endif  // FRAMEWORK_BASE_PERIODIC_THREAD_H_
