#include "streams/event_reader.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace wist {
namespace {

constexpr std::string_view kIdField = "id: ";
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kDoneMarker = "[DONE]";

std::int64_t ParseOffset(std::string_view digits) {
  std::int64_t offset = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), offset);
  if (error != std::errc() || end != digits.data() + digits.size())
    throw stream_protocol_error(
        "the id of a token event is not a decimal number");
  return offset;
}

}  // namespace

std::optional<stream_event> event_reader::Next() {
  std::string line;
  token_event event;
  // Parsed at the end of the event: the last line of a response may be cut off.
  std::optional<std::string> id;
  bool has_data = false;
  while (stream_.ReadLine(line)) {
    const std::string_view view(line);
    if (view.substr(0, kIdField.size()) == kIdField) {
      id = view.substr(kIdField.size());
    } else if (view.substr(0, kDataField.size()) == kDataField) {
      event.data = view.substr(kDataField.size());
      has_data = true;
    } else if (view.empty() && has_data) {
      if (event.data == kDoneMarker)
        return stream_done{};
      if (id)
        event.offset = ParseOffset(*id);
      if (!id || event.offset != expected_offset_)
        throw stream_protocol_error(
            "a token event has no id or is out of sequence");
      ++expected_offset_;
      return event;
    }
  }
  return std::nullopt;
}

std::string TokenText(const std::string& data, stream_format format) {
  try {
    const nlohmann::json choice =
        nlohmann::json::parse(data).at("choices").at(0);
    return format == stream_format::chat
               ? choice.at("delta").value("content", "")
               : choice.at("text").get<std::string>();
  } catch (const nlohmann::json::exception&) {
    throw stream_protocol_error(
        "the payload of a token event is not a completion or chat chunk");
  }
}

}  // namespace wist
