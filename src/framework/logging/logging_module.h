#ifndef FRAMEWORK_LOGGING_LOGGING_MODULE_H_
#define FRAMEWORK_LOGGING_LOGGING_MODULE_H_

#include <memory>
#include <string>

#include "framework/logging/i_logger.h"

namespace wist {

// Parses "debug", "info", "warning" or "error"; throws std::invalid_argument.
log_level ParseLogLevel(const std::string& text);

// Returns a logger that writes events to standard error, one JSON object per
// line. Every line contains `source`, which identifies the process.
std::shared_ptr<i_logger> MakeStderrLogger(log_level min_level,
                                           std::string source);

// Returns a logger that writes events to standard output, one JSON object per
// line, and never blocks. Lines are buffered; when the buffer is full, new
// lines are discarded and counted.
std::shared_ptr<i_buffered_logger> MakeStdoutLogger(log_level min_level,
                                                    std::string source);

// Returns a logger that discards all events.
std::shared_ptr<i_logger> MakeNullLogger();

}  // namespace wist

#endif  // FRAMEWORK_LOGGING_LOGGING_MODULE_H_
