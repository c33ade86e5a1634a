#ifndef STREAMS_EVENT_READER_H_
#define STREAMS_EVENT_READER_H_

#include <optional>
#include <stdexcept>
#include <string>

#include "framework/http/i_http_client.h"
#include "streams/stream_types.h"

namespace wist {

// The target's stream is not what it should be.
class stream_protocol_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the events of one stream and checks that offsets have no gap and no
// repetition.
class event_reader {
 public:
  event_reader(i_http_stream& stream, std::int64_t first_offset)
      : stream_(stream), expected_(first_offset) {}

  // Returns the next event; nothing if the stream ended without its last one.
  // Throws http_error or stream_protocol_error.
  std::optional<stream_event> Next();

 private:
  i_http_stream& stream_;
  std::int64_t expected_;
};

// Returns the text of one token's payload. Throws stream_protocol_error.
std::string TokenText(const std::string& data, stream_format format);

}  // namespace wist

#endif  // STREAMS_EVENT_READER_H_
