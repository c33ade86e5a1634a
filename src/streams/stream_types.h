#ifndef STREAMS_STREAM_TYPES_H_
#define STREAMS_STREAM_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "configuration/configuration_types.h"

namespace wist {

enum class stream_format { completion, chat };

// The position in a generation from which its stream is resumed.
struct resume_point {
  target_id target;
  std::string generation;
  // Number of tokens that the caller has received.
  std::int64_t offset = 0;
  stream_format format = stream_format::completion;

  auto operator<=>(const resume_point&) const = default;
};

// Events of a target's event stream.
struct token_event {
  std::int64_t offset = 0;
  std::string data;  // Payload as the target sent it.
};
struct stream_done {};
using stream_event = std::variant<token_event, stream_done>;

}  // namespace wist

#endif  // STREAMS_STREAM_TYPES_H_
