#ifndef STREAMS_STREAM_TYPES_H_
#define STREAMS_STREAM_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "configuration/configuration_types.h"

namespace wist {

enum class stream_format { completion, chat };

// The place in a generation from which its stream goes on.
struct resume_point {
  target_id target;
  std::string generation;
  // Tokens that the caller has.
  std::int64_t offset = 0;
  stream_format format = stream_format::completion;

  auto operator<=>(const resume_point&) const = default;
};

// What a target's event stream brings.
struct token_event {
  std::int64_t offset = 0;
  std::string data;  // The event's payload as the target sent it.
};
struct stream_done {};
using stream_event = std::variant<token_event, stream_done>;

}  // namespace wist

#endif  // STREAMS_STREAM_TYPES_H_
