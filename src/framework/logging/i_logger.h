#ifndef FRAMEWORK_LOGGING_I_LOGGER_H_
#define FRAMEWORK_LOGGING_I_LOGGER_H_

#include <cstdint>
#include <string_view>

#include "framework/logging/log_types.h"

namespace wist {

// Writes structured events. Thread-safe.
class i_logger {
 public:
  virtual ~i_logger() = default;

  // Writes one event; levels below the configured one are dropped, except
  // `audit`, which is always written.
  virtual void Write(log_level level,
                     std::string_view event,
                     const log_fields& fields) = 0;
};

// A logger that holds lines back for a while.
class i_buffered_logger : public i_logger {
 public:
  // Writes what is held, as far as that needs no waiting.
  virtual void Flush() = 0;

  // Lines that were lost because nobody read the earlier ones.
  virtual std::uint64_t DroppedLines() const = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_LOGGING_I_LOGGER_H_
