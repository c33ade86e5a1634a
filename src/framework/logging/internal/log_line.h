#ifndef FRAMEWORK_LOGGING_INTERNAL_LOG_LINE_H_
#define FRAMEWORK_LOGGING_INTERNAL_LOG_LINE_H_

#include <string>
#include <string_view>

#include "framework/logging/log_types.h"

namespace wist {

// Returns an event as a JSON object followed by a line feed.
std::string FormatLogLine(log_level level,
                          const std::string& source,
                          std::string_view event,
                          const log_fields& fields);

}  // namespace wist

#endif  // FRAMEWORK_LOGGING_INTERNAL_LOG_LINE_H_
