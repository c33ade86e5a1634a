#ifndef FRAMEWORK_LOGGING_LOG_TYPES_H_
#define FRAMEWORK_LOGGING_LOG_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wist {

enum class log_level { debug, info, warning, error, audit };

// A named value attached to a log event.
struct log_field {
  std::string name;
  std::variant<std::string, std::int64_t, double, bool> value;
};

using log_fields = std::vector<log_field>;

}  // namespace wist

#endif  // FRAMEWORK_LOGGING_LOG_TYPES_H_
