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
  std::string lower_case;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto character = static_cast<unsigned char>(text[i]);
    if (IsHyphenPosition(i) ? character != '-' : !std::isxdigit(character))
      return std::nullopt;
    lower_case.push_back(static_cast<char>(std::tolower(character)));
  }
  if (lower_case[kVersionPosition] != '7' ||
      std::string("89ab").find(lower_case[kVariantPosition]) ==
          std::string::npos)
    return std::nullopt;
  // The first 48 bits are the time in milliseconds since the Unix epoch.
  const std::string time_digits =
      lower_case.substr(0, 8) + lower_case.substr(9, 4);
  const auto issued_at_ms =
      static_cast<std::int64_t>(std::stoull(time_digits, nullptr, 16));
  return idempotency_key(lower_case, calendar_time(milliseconds(issued_at_ms)));
}

}  // namespace wist
