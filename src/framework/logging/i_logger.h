#ifndef FRAMEWORK_LOGGING_I_LOGGER_H_
#define FRAMEWORK_LOGGING_I_LOGGER_H_

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

}  // namespace wist

#endif  // FRAMEWORK_LOGGING_I_LOGGER_H_
