#include <cctype>

#include "claims/claim_types.h"

namespace wist {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;

bool IsHyphenPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

}  // namespace

std::optional<idempotency_key> idempotency_key::Parse(const std::string& text) {
  if (text.size() != kUuidLength)
    return std::nullopt;
  std::string folded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto character = static_cast<unsigned char>(text[i]);
    if (IsHyphenPosition(i) ? character != '-' : !std::isxdigit(character))
      return std::nullopt;
    folded.push_back(static_cast<char>(std::tolower(character)));
  }
  if (folded[kVersionPosition] != '7' ||
      std::string("89ab").find(folded[kVariantPosition]) == std::string::npos)
    return std::nullopt;
  // The first 48 bits are milliseconds since the Unix epoch.
  const std::string time_digits = folded.substr(0, 8) + folded.substr(9, 4);
  const auto millis =
      static_cast<std::int64_t>(std::stoull(time_digits, nullptr, 16));
  return idempotency_key(folded, calendar_time(milliseconds(millis)));
}

}  // namespace wist
