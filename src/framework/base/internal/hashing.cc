#include "framework/base/hashing.h"

#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace wist {
namespace {

std::string ToHex(const unsigned char* data, std::size_t size) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    hex.push_back(kDigits[data[i] >> 4]);
    hex.push_back(kDigits[data[i] & 0x0f]);
  }
  return hex;
}

}  // namespace

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1)
    throw std::runtime_error("RAND_bytes could not generate random bytes");
  return ToHex(buffer.data(), buffer.size());
}

}  // namespace wist
