#ifndef LIMITS_RESPONSE_MEMORY_H_
#define LIMITS_RESPONSE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace wist {

using response_number = std::int64_t;

// Decides which responses are given up when all that an instance holds exceed a
// limit. Does no I/O; not thread-safe.
class response_memory {
 public:
  explicit response_memory(std::size_t limit_bytes)
      : limit_bytes_(limit_bytes) {}

  void SetLimit(std::size_t limit_bytes) { limit_bytes_ = limit_bytes; }

  // Adds a response of `source` that is still arriving.
  response_number AddGrowing(std::string source);

  // Adds a response that is complete and waits for its caller to read it.
  response_number AddComplete(std::string source);

  void SetBytes(response_number number, std::size_t bytes);
  void Remove(response_number number);

  // Returns the response to give up next; nullopt if the limit is kept, or if
  // all responses that are left are too small to matter.
  std::optional<response_number> ChooseVictim() const;

  std::size_t BytesOf(response_number number) const;
  std::size_t total_bytes() const { return total_bytes_; }
  std::size_t limit_bytes() const { return limit_bytes_; }

 private:
  struct response {
    std::string source;
    bool is_complete = false;
    std::size_t bytes = 0;
  };

  response_number Add(std::string source, bool is_complete);

  std::size_t limit_bytes_;
  std::size_t total_bytes_ = 0;
  response_number last_number_ = 0;
  std::map<response_number, response> responses_;
};

}  // namespace wist

#endif  // LIMITS_RESPONSE_MEMORY_H_
