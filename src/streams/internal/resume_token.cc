#include "streams/resume_token.h"

#include <charconv>
#include <vector>

namespace wist {
namespace {

constexpr char kKeyPurpose[] = "resume";
constexpr char kSeparator = '|';
constexpr char kCompletionLetter = 'c';
constexpr char kChatLetter = 'h';
constexpr std::size_t kPayloadFields = 4;
constexpr std::size_t kMaxTokenBytes = 512;

std::string EncodePayload(const resume_point& point) {
  std::string text = point.target.text();
  text.push_back(kSeparator);
  text += point.generation;
  text.push_back(kSeparator);
  text += std::to_string(point.offset);
  text.push_back(kSeparator);
  text.push_back(point.format == stream_format::chat ? kChatLetter
                                                     : kCompletionLetter);
  return text;
}

std::vector<std::string> SplitFields(const std::string& text) {
  std::vector<std::string> fields;
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = text.find(kSeparator, start);
    fields.push_back(text.substr(start, end - start));
    if (end == std::string::npos)
      return fields;
    start = end + 1;
  }
}

}  // namespace

std::string EncodeResumeToken(const i_keyring& keys,
                              const resume_point& point) {
  std::string payload = EncodePayload(point);
  const std::string signature = keys.Sign(kKeyPurpose, payload);
  payload.push_back(kSeparator);
  return payload + signature;
}

std::optional<resume_point> DecodeResumeToken(const i_keyring& keys,
                                              const std::string& token) {
  if (token.size() > kMaxTokenBytes)
    return std::nullopt;
  const std::size_t last = token.rfind(kSeparator);
  if (last == std::string::npos)
    return std::nullopt;
  const std::string payload = token.substr(0, last);
  if (!keys.Verify(kKeyPurpose, payload, token.substr(last + 1)))
    return std::nullopt;
  const std::vector<std::string> fields = SplitFields(payload);
  if (fields.size() != kPayloadFields)
    return std::nullopt;
  resume_point point;
  point.target = target_id(fields[0]);
  point.generation = fields[1];
  const std::string& digits = fields[2];
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), point.offset);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      point.offset < 0)
    return std::nullopt;
  point.format = fields[3] == std::string(1, kChatLetter)
                     ? stream_format::chat
                     : stream_format::completion;
  return point;
}

}  // namespace wist
