#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "framework/logging/internal/log_line.h"
#include "framework/logging/logging_module.h"

namespace wist {
namespace {

std::string_view LevelName(log_level level) {
  switch (level) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      return "error";
    case log_level::audit:
      return "audit";
  }
  return "unknown";
}

std::string FormatCurrentUtcTime() {
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() %
                      1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis);
}

class stderr_logger final : public i_logger {
 public:
  stderr_logger(log_level min_level, std::string source)
      : min_level_(min_level), source_(std::move(source)) {}

  void Write(log_level level,
             std::string_view event,
             const log_fields& fields) override {
    if (level < min_level_)
      return;
    const std::string text = FormatLogLine(level, source_, event, fields);
    // Each line is written with a single call, so that lines of several
    // processes that share a pipe are not interleaved.
    std::lock_guard lock(mutex_);
    fmt::print(stderr, "{}", text);
  }

 private:
  const log_level min_level_;
  const std::string source_;
  std::mutex mutex_;
};

class null_logger final : public i_logger {
 public:
  void Write(log_level, std::string_view, const log_fields&) override {}
};

}  // namespace

std::string FormatLogLine(log_level level,
                          const std::string& source,
                          std::string_view event,
                          const log_fields& fields) {
  nlohmann::ordered_json line;
  line["time"] = FormatCurrentUtcTime();
  line["level"] = LevelName(level);
  line["source"] = source;
  line["event"] = event;
  for (const log_field& field : fields) {
    std::visit([&](const auto& value) { line[field.name] = value; },
               field.value);
  }
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

log_level ParseLogLevel(const std::string& text) {
  for (log_level level : {log_level::debug, log_level::info, log_level::warning,
                          log_level::error}) {
    if (LevelName(level) == text)
      return level;
  }
  throw std::invalid_argument("unknown log level '" + text + "'");
}

std::shared_ptr<i_logger> MakeStderrLogger(log_level min_level,
                                           std::string source) {
  return std::make_shared<stderr_logger>(min_level, std::move(source));
}

std::shared_ptr<i_logger> MakeNullLogger() {
  return std::make_shared<null_logger>();
}

}  // namespace wist
