#ifndef STREAMS_EVENT_SPLITTER_H_
#define STREAMS_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wist {

// Splits a text/event-stream into complete events, so that a stream that breaks
// off within an event can be resumed after the last complete one.
class event_splitter {
 public:
  // Appends `bytes` and returns all events that are now complete.
  std::string Feed(std::string_view bytes);

  // Discards an incomplete event.
  void DropPartial() { partial_.clear(); }
  bool HasPartial() const { return !partial_.empty(); }

  std::size_t partial_bytes() const { return partial_.size(); }

  // Whether the incomplete event is larger than any event may be, so that the
  // stream is to be given up.
  bool IsTooLong() const;

  // The id of the last complete event that had one; nothing if there was none.
  const std::optional<std::string>& last_id() const { return last_id_; }
  std::int64_t event_count() const { return event_count_; }

 private:
  void RecordEvent(std::string_view event);

  std::string partial_;
  std::optional<std::string> last_id_;
  std::int64_t event_count_ = 0;
};

}  // namespace wist

#endif  // STREAMS_EVENT_SPLITTER_H_
