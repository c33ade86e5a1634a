#ifndef FRAMEWORK_NET_INTERNAL_HANDLER_GUARD_H_
#define FRAMEWORK_NET_INTERNAL_HANDLER_GUARD_H_

#include <exception>
#include <utility>

#include "framework/net/i_event_loop.h"

namespace wist {

// Runs the handlers of events and reports the exceptions that leave them.
class handler_guard {
 public:
  void SetReporter(handler_error_reporter reporter) {
    reporter_ = std::move(reporter);
  }

  // Returns false if `handler` threw. `subject` returns what the event belongs
  // to. Without a reporter, exceptions are passed on.
  template <typename Subject, typename Handler>
  bool Run(const Subject& subject, const Handler& handler) const {
    if (!reporter_) {
      handler();
      return true;
    }
    try {
      handler();
      return true;
    } catch (const std::exception& error) {
      Report(subject, error);
      return false;
    }
  }

 private:
  template <typename Subject>
  void Report(const Subject& subject, const std::exception& error) const {
    try {
      reporter_(subject(), error.what());
    } catch (const std::exception&) {
      // There may be no memory for the report either.
    }
  }

  handler_error_reporter reporter_;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_INTERNAL_HANDLER_GUARD_H_
