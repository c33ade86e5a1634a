#include <poll.h>
#include <unistd.h>

#include <mutex>

#include "framework/logging/internal/log_line.h"
#include "framework/logging/logging_module.h"

namespace wist {
namespace {

// A pipe that polls as writable takes this many bytes without waiting
// (POSIX PIPE_BUF).
constexpr std::size_t kPipeBytes = 4096;

// Lines held while the reader of the pipe is slow, in bytes.
constexpr std::size_t kMaxHeldBytes = 262'144;

class stdout_logger final : public i_buffered_logger {
 public:
  stdout_logger(log_level lowest, std::string source)
      : lowest_(lowest), source_(std::move(source)) {}

  void Write(log_level level,
             std::string_view event,
             const log_fields& fields) override {
    if (level < lowest_)
      return;
    std::string line = FormatLogLine(level, source_, event, fields);
    std::lock_guard lock(mutex_);
    if (held_.size() + line.size() > kMaxHeldBytes) {
      ++dropped_;
      return;
    }
    held_ += line;
    if (held_.size() >= kPipeBytes)
      FlushLocked();
  }

  void Flush() override {
    std::lock_guard lock(mutex_);
    FlushLocked();
  }

  std::uint64_t DroppedLines() const override {
    std::lock_guard lock(mutex_);
    return dropped_;
  }

 private:
  void FlushLocked() {
    while (!held_.empty()) {
      pollfd out{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0)
        return;
      const ssize_t written = ::write(STDOUT_FILENO, held_.data(),
                                      std::min(held_.size(), kPipeBytes));
      if (written <= 0)
        return;
      held_.erase(0, static_cast<std::size_t>(written));
    }
  }

  const log_level lowest_;
  const std::string source_;
  mutable std::mutex mutex_;
  std::string held_;
  std::uint64_t dropped_ = 0;
};

}  // namespace

std::shared_ptr<i_buffered_logger> MakeStdoutLogger(log_level lowest,
                                                    std::string source) {
  return std::make_shared<stdout_logger>(lowest, std::move(source));
}

}  // namespace wist
