#ifndef STREAMS_EVENT_SPLITTER_H_
#define STREAMS_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wist {

// Complete events of a stream, in order.
struct event_batch {
  std::string text;
  std::int64_t count = 0;
  // The ids of the first and of the last event that has one; nothing if there
  // is none.
  std::optional<std::string> first_id;
  std::optional<std::string> last_id;
};

// Whether the event with this id may follow the one with id `earlier`. Decimal
// numbers increase; other ids only differ.
bool IsLaterEventId(std::string_view id, std::string_view earlier);

// Splits one text/event-stream response into complete events, so that a stream
// that breaks off within an event can be resumed after the last complete one.
// The incomplete event belongs to this response only: each response has a
// splitter of its own.
class event_splitter {
 public:
  // Appends `bytes` and returns all events that are now complete.
  event_batch Feed(std::string_view bytes);

  bool HasPartial() const { return !partial_.empty(); }

  std::size_t partial_bytes() const { return partial_.size(); }

  // Whether the incomplete event is larger than any event may be, so that the
  // stream is to be given up.
  bool IsTooLong() const;

  // Whether a complete event has a line that begins a response. No field of an
  // event does, so that a second response is in the stream.
  bool HasStatusLine() const { return has_status_line_; }

  // The number of complete events.
  std::int64_t event_count() const { return event_count_; }

 private:
  std::string partial_;
  std::int64_t event_count_ = 0;
  bool has_status_line_ = false;
};

}  // namespace wist

#endif  // STREAMS_EVENT_SPLITTER_H_
