#ifndef FRAMEWORK_LOGGING_INTERNAL_LOG_LINE_H_
#define FRAMEWORK_LOGGING_INTERNAL_LOG_LINE_H_

#include <string>
#include <string_view>

#include "framework/logging/log_types.h"

namespace wist {

// Returns one event as a JSON object with a line end.
std::string FormatLogLine(log_level level,
                          const std::string& source,
                          std::string_view event,
                          const log_fields& fields);

}  // namespace wist

#endif  // FRAMEWORK_LOGGING_INTERNAL_LOG_LINE_H_
