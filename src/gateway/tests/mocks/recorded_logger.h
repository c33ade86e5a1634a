#ifndef GATEWAY_TESTS_MOCKS_RECORDED_LOGGER_H_
#define GATEWAY_TESTS_MOCKS_RECORDED_LOGGER_H_

#include <map>
#include <string>
#include <variant>

#include "framework/logging/i_logger.h"

namespace wist {

// Records the text fields and the whole numbers of the latest event of each
// name, as text.
class recorded_logger final : public i_logger {
 public:
  void Write(log_level,
             std::string_view event,
             const log_fields& fields) override {
    auto& last = last_[std::string(event)];
    last.clear();
    ++counts_[std::string(event)];
    for (const log_field& field : fields) {
      if (const auto* text = std::get_if<std::string>(&field.value))
        last[field.name] = *text;
      if (const auto* number = std::get_if<std::int64_t>(&field.value))
        last[field.name] = std::to_string(*number);
    }
  }

  std::string LastField(const std::string& event, const std::string& field) {
    return last_[event][field];
  }

  int Count(const std::string& event) { return counts_[event]; }

 private:
  std::map<std::string, int> counts_;
  std::map<std::string, std::map<std::string, std::string>> last_;
};

}  // namespace wist

#endif  // GATEWAY_TESTS_MOCKS_RECORDED_LOGGER_H_
