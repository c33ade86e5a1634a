#ifndef FRAMEWORK_BASE_HASHING_H_
#define FRAMEWORK_BASE_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wist {

// 64-bit non-cryptographic hash, equal on all instances.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// SHA-256 in lower-case hexadecimal, 64 characters.
std::string Sha256Hex(std::string_view text);

// Returns `bytes` random bytes from the system's generator as hexadecimal.
std::string RandomHex(std::size_t bytes);

}  // namespace wist

#endif  // FRAMEWORK_BASE_HASHING_H_
