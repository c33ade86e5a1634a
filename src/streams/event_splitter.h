#ifndef STREAMS_EVENT_SPLITTER_H_
#define STREAMS_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wist {

// Cuts a text/event-stream into whole events, so that a stream that breaks in
// the middle of one can go on after the last whole one.
class event_splitter {
 public:
  // Takes bytes and returns the whole events that they complete.
  std::string Feed(std::string_view bytes);

  // Forgets an event that is not whole.
  void DropPartial() { partial_.clear(); }
  bool HasPartial() const { return !partial_.empty(); }

  // The id of the last whole event; nothing before the first with an id.
  const std::optional<std::string>& last_id() const { return last_id_; }
  std::int64_t events() const { return events_; }

 private:
  void Note(std::string_view event);

  std::string partial_;
  std::optional<std::string> last_id_;
  std::int64_t events_ = 0;
};

}  // namespace wist

#endif  // STREAMS_EVENT_SPLITTER_H_
