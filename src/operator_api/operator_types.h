#ifndef OPERATOR_API_OPERATOR_TYPES_H_
#define OPERATOR_API_OPERATOR_TYPES_H_

#include <compare>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration_types.h"

namespace wist {

// A change that was compared with the configuration in force. Applying it puts
// exactly `text` in force.
struct change_plan {
  configuration_body body;
  std::string text;
  std::string digest;
  std::vector<std::string> difference;
  std::int64_t base_version = 0;
  std::uint64_t base_revision = 0;
  std::vector<change_record> base_history;
};

// The change is in force.
struct change_accepted {
  std::int64_t version = 0;
  std::string change_id;
  auto operator<=>(const change_accepted&) const = default;
};
// Another change was applied first.
struct change_superseded {
  std::int64_t version = 0;
  std::string change_id;
  std::string author;
  auto operator<=>(const change_superseded&) const = default;
};
// The store did not confirm the write in time. Planning again shows what is in
// force.
struct change_in_doubt {
  std::string change_id;
  auto operator<=>(const change_in_doubt&) const = default;
};
using apply_result =
    std::variant<change_accepted, change_superseded, change_in_doubt>;

// The configuration is invalid.
class configuration_refused : public std::runtime_error {
 public:
  explicit configuration_refused(std::vector<configuration_error> errors)
      : std::runtime_error("invalid configuration"),
        errors_(std::move(errors)) {}

  const std::vector<configuration_error>& errors() const { return errors_; }

 private:
  std::vector<configuration_error> errors_;
};

}  // namespace wist

#endif  // OPERATOR_API_OPERATOR_TYPES_H_
