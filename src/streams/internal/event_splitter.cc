#include "streams/event_splitter.h"

namespace wist {
namespace {

constexpr std::string_view kIdField = "id:";

// An event holds a few tokens; a stream without any end of an event holds none.
constexpr std::size_t kMaxEventBytes = 1'048'576;

// Returns the position after the empty line that ends the event at `from`; npos
// if the event is incomplete.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view rest = text.substr(at + 1);
    if (rest.starts_with('\n'))
      return at + 2;
    if (rest.starts_with("\r\n"))
      return at + 3;
  }
  return std::string_view::npos;
}

}  // namespace

bool event_splitter::IsTooLong() const {
  return partial_.size() > kMaxEventBytes;
}

std::string event_splitter::Feed(std::string_view bytes) {
  partial_.append(bytes);
  std::size_t begin = 0;
  for (std::size_t end = FindEventEnd(partial_, begin);
       end != std::string_view::npos; end = FindEventEnd(partial_, begin)) {
    RecordEvent(std::string_view(partial_).substr(begin, end - begin));
    begin = end;
  }
  std::string complete = partial_.substr(0, begin);
  partial_.erase(0, begin);
  return complete;
}

void event_splitter::RecordEvent(std::string_view event) {
  ++event_count_;
  for (std::size_t begin = 0; begin < event.size();) {
    const std::size_t end = event.find('\n', begin);
    std::string_view line = event.substr(begin, end - begin);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      last_id_ = std::string(line);
    }
    if (end == std::string_view::npos)
      return;
    begin = end + 1;
  }
}

}  // namespace wist
