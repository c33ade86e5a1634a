#ifndef FRAMEWORK_LOGGING_LOGGING_MODULE_H_
#define FRAMEWORK_LOGGING_LOGGING_MODULE_H_

#include <memory>
#include <string>

#include "framework/logging/i_logger.h"

namespace wist {

// Parses "debug", "info", "warning" or "error"; throws std::invalid_argument.
log_level ParseLogLevel(const std::string& text);

// Returns a logger that writes one JSON object a line to standard error.
// `source` names the writing process in every line.
std::shared_ptr<i_logger> MakeStderrLogger(log_level lowest,
                                           std::string source);

// Returns a logger that writes one JSON object a line to standard output and
// never waits: lines are held until Flush, and dropped past a bound.
std::shared_ptr<i_buffered_logger> MakeStdoutLogger(log_level lowest,
                                                    std::string source);

// Returns a logger that drops everything.
std::shared_ptr<i_logger> MakeNullLogger();

}  // namespace wist

#endif  // FRAMEWORK_LOGGING_LOGGING_MODULE_H_
