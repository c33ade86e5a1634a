#ifndef FRAMEWORK_HTTP_INVALID_RESPONSE_LOG_H_
#define FRAMEWORK_HTTP_INVALID_RESPONSE_LOG_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "framework/base/time_types.h"
#include "framework/http/http_types.h"
#include "framework/logging/i_logger.h"

namespace wist {

// Counts invalid responses and logs a limited number of them each second.
// Thread-safe.
class invalid_response_log {
 public:
  // `count` is called for each response with the name of the rule that it
  // breaks, also from several threads at once.
  invalid_response_log(i_logger& logger,
                       std::function<void(const std::string& rule)> count);

  void Report(const invalid_response& response, timestamp now);

 private:
  i_logger& logger_;
  const std::function<void(const std::string&)> count_;
  std::mutex mutex_;
  timestamp interval_end_{};
  int lines_in_interval_ = 0;
  // Responses without a line since the last line.
  std::int64_t not_logged_ = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_HTTP_INVALID_RESPONSE_LOG_H_
