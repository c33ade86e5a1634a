#ifndef FRAMEWORK_BASE_HASHING_H_
#define FRAMEWORK_BASE_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wist {

// Returns a 64-bit non-cryptographic hash that is the same on all instances.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Returns the SHA-256 digest as 64 lower-case hexadecimal characters.
std::string Sha256Hex(std::string_view text);

// Returns `bytes` random bytes from OpenSSL's generator as lower-case
// hexadecimal. Throws std::runtime_error if the generator fails.
std::string RandomHex(std::size_t bytes);

}  // namespace wist

#endif  // FRAMEWORK_BASE_HASHING_H_
