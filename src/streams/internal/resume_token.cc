#include "streams/resume_token.h"

#include <charconv>
#include <vector>

namespace wist {
namespace {

constexpr char kPurpose[] = "resume";
constexpr char kSeparator = '|';
constexpr char kCompletionLetter = 'c';
constexpr char kChatLetter = 'h';
constexpr std::size_t kParts = 4;
constexpr std::size_t kMaxTokenBytes = 512;

std::string Payload(const resume_point& point) {
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

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = text.find(kSeparator, start);
    parts.push_back(text.substr(start, end - start));
    if (end == std::string::npos)
      return parts;
    start = end + 1;
  }
}

}  // namespace

std::string EncodeResumeToken(const i_keyring& keys,
                              const resume_point& point) {
  std::string payload = Payload(point);
  const std::string signature = keys.Sign(kPurpose, payload);
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
  if (!keys.Verify(kPurpose, payload, token.substr(last + 1)))
    return std::nullopt;
  const std::vector<std::string> parts = Split(payload);
  if (parts.size() != kParts)
    return std::nullopt;
  resume_point point;
  point.target = target_id(parts[0]);
  point.generation = parts[1];
  const std::string& digits = parts[2];
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), point.offset);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      point.offset < 0)
    return std::nullopt;
  point.format = parts[3] == std::string(1, kChatLetter)
                     ? stream_format::chat
                     : stream_format::completion;
  return point;
}

}  // namespace wist
