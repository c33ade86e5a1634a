#include <poll.h>
#include <unistd.h>

#include <mutex>

#include "framework/logging/internal/log_line.h"
#include "framework/logging/logging_module.h"

namespace wist {
namespace {

// A pipe that poll() reports as writable accepts this many bytes without
// blocking (PIPE_BUF on Linux).
constexpr std::size_t kNonBlockingWriteBytes = 4096;

// Limit on the lines that are buffered while the reader of the pipe is slow.
constexpr std::size_t kMaxBufferedBytes = 262'144;

class stdout_logger final : public i_buffered_logger {
 public:
  stdout_logger(log_level min_level, std::string source)
      : min_level_(min_level), source_(std::move(source)) {}

  void Write(log_level level,
             std::string_view event,
             const log_fields& fields) override {
    if (level < min_level_)
      return;
    std::string line = FormatLogLine(level, source_, event, fields);
    std::lock_guard lock(mutex_);
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
      ++dropped_lines_;
      return;
    }
    buffer_ += line;
    if (buffer_.size() >= kNonBlockingWriteBytes)
      FlushLocked();
  }

  void Flush() override {
    std::lock_guard lock(mutex_);
    FlushLocked();
  }

  std::uint64_t DroppedLineCount() const override {
    std::lock_guard lock(mutex_);
    return dropped_lines_;
  }

 private:
  // Writes as many bytes as stdout accepts without blocking. The others stay in
  // the buffer. The caller must hold the mutex.
  void FlushLocked() {
    while (!buffer_.empty()) {
      pollfd out{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0)
        return;
      const ssize_t written =
          ::write(STDOUT_FILENO, buffer_.data(),
                  std::min(buffer_.size(), kNonBlockingWriteBytes));
      if (written <= 0)
        return;
      buffer_.erase(0, static_cast<std::size_t>(written));
    }
  }

  const log_level min_level_;
  const std::string source_;
  mutable std::mutex mutex_;
  std::string buffer_;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace

std::shared_ptr<i_buffered_logger> MakeStdoutLogger(log_level min_level,
                                                    std::string source) {
  return std::make_shared<stdout_logger>(min_level, std::move(source));
}

}  // namespace wist
