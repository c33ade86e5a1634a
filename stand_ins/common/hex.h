#ifndef STAND_INS_COMMON_HEX_H_
#define STAND_INS_COMMON_HEX_H_

#include <string>

namespace wist {

// Decodes pairs of hexadecimal digits. Throws std::invalid_argument.
inline std::string DecodeHex(const std::string& digits) {
  constexpr int kHexadecimal = 16;
  std::string bytes;
  for (std::size_t at = 0; at + 1 < digits.size(); at += 2) {
    bytes += static_cast<char>(
        std::stoi(digits.substr(at, 2), nullptr, kHexadecimal));
  }
  return bytes;
}

}  // namespace wist

#endif  // STAND_INS_COMMON_HEX_H_
