#ifndef STREAMS_EVENT_READER_H_
#define STREAMS_EVENT_READER_H_

#include <optional>
#include <stdexcept>
#include <string>

#include "framework/http/i_http_client.h"
#include "streams/stream_types.h"

namespace wist {

// Thrown when the target's stream violates the protocol.
class stream_protocol_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the events of one stream and checks that their offsets are consecutive.
class event_reader {
 public:
  event_reader(i_http_stream& stream, std::int64_t first_offset)
      : stream_(stream), expected_offset_(first_offset) {}

  // Returns the next event; nothing if the stream ended without a final event.
  // Throws http_error or stream_protocol_error.
  std::optional<stream_event> Next();

 private:
  i_http_stream& stream_;
  std::int64_t expected_offset_;
};

// Returns the text in the payload of a token event. Throws
// stream_protocol_error if the payload is malformed.
std::string TokenText(const std::string& data, stream_format format);

}  // namespace wist

#endif  // STREAMS_EVENT_READER_H_
