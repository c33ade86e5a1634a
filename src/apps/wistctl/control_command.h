#ifndef APPS_WISTCTL_CONTROL_COMMAND_H_
#define APPS_WISTCTL_CONTROL_COMMAND_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace wist {

// A parsed wistctl command line.
struct control_command {
  std::string name;
  std::vector<std::string> arguments;
  std::string platform;
  std::string author;
  std::string digest;
  std::string instances;  // Comma-separated addresses, each host:port.
  std::string windows;    // Comma-separated seconds.
  std::string format;     // "table", "json" or "html".
  std::int64_t grace_ms = 0;
};

// The command line is invalid.
class usage_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace wist

#endif  // APPS_WISTCTL_CONTROL_COMMAND_H_
