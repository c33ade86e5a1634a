#ifndef SETTINGS_SETTINGS_TYPES_H_
#define SETTINGS_SETTINGS_TYPES_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "framework/http/http_types.h"
#include "framework/logging/log_types.h"

namespace wist {

// Validated settings of an entry instance.
struct entry_settings {
  std::string instance;
  std::string domain;
  http_address listen;
  http_address peer_listen;
  http_address platform;
  std::vector<http_address> seed_peers;
  std::string keys;  // As MakeKeyring parses it.
  log_level min_log_level = log_level::info;
  int max_streams = 600;
  std::size_t max_body_bytes = 1 << 20;
  // Memory for all request bodies together.
  std::size_t caller_memory_bytes = 64 << 20;
  // Maximum time that a request may wait for a target.
  milliseconds start_limit{10'000};
  // Maximum time that a planned stop waits for requests in flight.
  milliseconds stop_limit{30'000};
  // Time between two polls of a load report.
  milliseconds poll_interval{250};
  bool test_hooks = false;

  auto operator<=>(const entry_settings&) const = default;
};

// A setting and where its value comes from, as `--print-settings` prints it.
struct effective_setting {
  std::string name;
  std::string value;
  std::string source;  // "flag", "environment" or "default".

  auto operator<=>(const effective_setting&) const = default;
};

// The settings are invalid. Contains one message for the operator per error.
class settings_error : public std::runtime_error {
 public:
  explicit settings_error(std::vector<std::string> errors)
      : std::runtime_error(errors.empty() ? "" : errors.front()),
        errors_(std::move(errors)) {}

  const std::vector<std::string>& errors() const { return errors_; }

 private:
  std::vector<std::string> errors_;
};

}  // namespace wist

#endif  // SETTINGS_SETTINGS_TYPES_H_
