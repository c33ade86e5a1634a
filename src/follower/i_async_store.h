#ifndef FOLLOWER_I_ASYNC_STORE_H_
#define FOLLOWER_I_ASYNC_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "framework/base/time_types.h"

namespace wist {

// One change of a key; no value if the key was deleted.
struct store_change {
  std::string key;
  std::optional<std::string> value;
  std::int64_t revision = 0;

  auto operator<=>(const store_change&) const = default;
};

// Some of the keys under a prefix, in order.
struct range_page {
  std::vector<store_change> items;
  bool has_more = false;
  std::int64_t at_revision = 0;
  // How old the content was when the page was made; 0 from the store itself.
  microseconds age{0};

  auto operator<=>(const range_page&) const = default;
};

// Changes up to and including `at_revision`.
struct watch_page {
  std::vector<store_change> changes;
  std::int64_t at_revision = 0;
  microseconds age{0};

  auto operator<=>(const watch_page&) const = default;
};

enum class store_fault {
  unavailable,   // No answer, or the store does not serve this instance now.
  history_gone,  // The changes asked for are not kept any more.
};

std::string_view StoreFaultName(store_fault fault);

using range_result = std::variant<range_page, store_fault>;
using watch_result = std::variant<watch_page, store_fault>;

// Reads a key-value service without waiting. Not thread-safe.
class i_store_reader {
 public:
  virtual ~i_store_reader() = default;

  // Reads keys under `prefix` that come after `after_key`.
  virtual void ReadRange(const std::string& prefix,
                         const std::string& after_key,
                         std::function<void(range_result)> done) = 0;

  // Waits up to `wait` for changes after `since_revision`.
  virtual void Watch(const std::string& prefix,
                     std::int64_t since_revision,
                     milliseconds wait,
                     std::function<void(watch_result)> done) = 0;
};

// The platform's key-value service. Not thread-safe.
class i_async_store : public i_store_reader {
 public:
  // Writes a key that lapses `validity` after the call, whatever was there.
  virtual void PutForAWhile(const std::string& key,
                            const std::string& value,
                            milliseconds validity,
                            std::function<void(bool done)> done) = 0;
};

}  // namespace wist

#endif  // FOLLOWER_I_ASYNC_STORE_H_
