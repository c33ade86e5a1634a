#include "streams/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "framework/http/http_codec.h"

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

struct event_lines {
  std::optional<std::string> id;
  bool has_status_line = false;
};

event_lines ReadLines(std::string_view event) {
  event_lines lines;
  for (std::size_t begin = 0; begin < event.size();) {
    const std::size_t end = std::min(event.find('\n', begin), event.size());
    std::string_view line = event.substr(begin, end - begin);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      lines.id = std::string(line);
    } else if (IsStatusLine(line)) {
      lines.has_status_line = true;
    }
    begin = end + 1;
  }
  return lines;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc() || end != last)
    return std::nullopt;
  return number;
}

}  // namespace

bool IsLaterEventId(std::string_view id, std::string_view earlier) {
  const auto number = ParseNumber(id);
  const auto earlier_number = ParseNumber(earlier);
  if (!number || !earlier_number)
    return id != earlier;
  return *number > *earlier_number;
}

bool event_splitter::IsTooLong() const {
  return partial_.size() > kMaxEventBytes;
}

event_batch event_splitter::Feed(std::string_view bytes) {
  partial_.append(bytes);
  event_batch batch;
  std::size_t begin = 0;
  for (std::size_t end = FindEventEnd(partial_, begin);
       end != std::string_view::npos; end = FindEventEnd(partial_, begin)) {
    ++batch.count;
    event_lines lines =
        ReadLines(std::string_view(partial_).substr(begin, end - begin));
    has_status_line_ = has_status_line_ || lines.has_status_line;
    if (!batch.first_id)
      batch.first_id = lines.id;
    if (lines.id)
      batch.last_id = std::move(lines.id);
    begin = end;
  }
  event_count_ += batch.count;
  batch.text = partial_.substr(0, begin);
  partial_.erase(0, begin);
  return batch;
}

}  // namespace wist
