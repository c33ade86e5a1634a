#include "framework/http/invalid_response_log.h"

#include <utility>

namespace wist {
namespace {

// Targets in trouble may send an invalid response to each request.
constexpr seconds kInterval{1};
constexpr int kMaxLinesPerInterval = 10;

}  // namespace

invalid_response_log::invalid_response_log(
    i_logger& logger,
    std::function<void(const std::string& rule)> count)
    : logger_(logger), count_(std::move(count)) {}

void invalid_response_log::Report(const invalid_response& response,
                                  timestamp now) {
  count_(response.rule);
  std::int64_t not_logged = 0;
  {
    const std::lock_guard lock(mutex_);
    if (now >= interval_end_) {
      interval_end_ = now + kInterval;
      lines_in_interval_ = 0;
    }
    if (lines_in_interval_ >= kMaxLinesPerInterval) {
      ++not_logged_;
      return;
    }
    ++lines_in_interval_;
    not_logged = std::exchange(not_logged_, 0);
  }
  logger_.Write(log_level::warning, "invalid_response",
                {{"target", response.call.server},
                 {"request_id", response.call.request_id},
                 {"rule", response.rule},
                 {"not_logged", not_logged}});
}

}  // namespace wist
