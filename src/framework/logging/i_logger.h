#ifndef FRAMEWORK_LOGGING_I_LOGGER_H_
#define FRAMEWORK_LOGGING_I_LOGGER_H_

#include <cstdint>
#include <string_view>

#include "framework/logging/log_types.h"

namespace wist {

// Writes structured log events. Thread-safe.
class i_logger {
 public:
  virtual ~i_logger() = default;

  // Writes one event. Events below the configured level are discarded; `audit`
  // is the highest level, so audit events are always written.
  virtual void Write(log_level level,
                     std::string_view event,
                     const log_fields& fields) = 0;
};

// A logger that buffers its lines instead of writing them at once.
class i_buffered_logger : public i_logger {
 public:
  // Writes as many of the buffered lines as possible without blocking.
  virtual void Flush() = 0;

  // Number of lines that were discarded because the buffer was full.
  virtual std::uint64_t DroppedLineCount() const = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_LOGGING_I_LOGGER_H_
