#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <set>
#include <stdexcept>
#include <vector>

#include "framework/keys/keys_module.h"

namespace wist {
namespace {

constexpr std::size_t kMinSecretBytes = 16;
constexpr std::size_t kSignatureBytes = 16;

struct signing_key {
  std::string id;
  std::string secret;
};

std::string DecodeHex(const std::string& hex) {
  if (hex.size() % 2 != 0 ||
      hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    throw std::invalid_argument("the secret of a key is not hexadecimal");
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes.push_back(
        static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

signing_key ParseKey(const std::string& text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos || colon == 0)
    throw std::invalid_argument("a key does not have the form id:hex-secret");
  signing_key key{text.substr(0, colon), DecodeHex(text.substr(colon + 1))};
  // In signed texts, '.' separates the key id from the MAC, and '|' separates
  // the signature from the payload.
  if (key.id.find_first_of(".|") != std::string::npos)
    throw std::invalid_argument("a key id contains '.' or '|'");
  if (key.secret.size() < kMinSecretBytes)
    throw std::invalid_argument("the secret of key '" + key.id +
                                "' is shorter than 16 bytes");
  return key;
}

std::string ComputeMac(const signing_key& key,
                       std::string_view purpose,
                       std::string_view text) {
  std::string input(purpose);
  input.push_back('\0');
  input.append(text);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
       reinterpret_cast<const unsigned char*>(input.data()), input.size(),
       digest.data(), &size);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (std::size_t i = 0; i < kSignatureBytes; ++i) {
    hex.push_back(kDigits[digest[i] >> 4]);
    hex.push_back(kDigits[digest[i] & 0x0f]);
  }
  return hex;
}

class hmac_keyring final : public i_keyring {
 public:
  explicit hmac_keyring(std::vector<signing_key> keys)
      : keys_(std::move(keys)) {}

  std::string Sign(std::string_view purpose,
                   std::string_view text) const override {
    return keys_.front().id + "." + ComputeMac(keys_.front(), purpose, text);
  }

  bool Verify(std::string_view purpose,
              std::string_view text,
              std::string_view signature) const override {
    const std::size_t dot = signature.find('.');
    if (dot == std::string_view::npos)
      return false;
    const std::string_view id = signature.substr(0, dot);
    const std::string_view mac = signature.substr(dot + 1);
    for (const signing_key& key : keys_) {
      if (key.id != id)
        continue;
      const std::string expected = ComputeMac(key, purpose, text);
      return mac.size() == expected.size() &&
             CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) == 0;
    }
    return false;
  }

 private:
  const std::vector<signing_key> keys_;
};

}  // namespace

std::shared_ptr<const i_keyring> MakeKeyring(const std::string& text) {
  std::vector<signing_key> keys;
  std::set<std::string> ids;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    keys.push_back(ParseKey(text.substr(start, comma - start)));
    if (!ids.insert(keys.back().id).second)
      throw std::invalid_argument("key id '" + keys.back().id +
                                  "' is used more than once");
    start = comma + 1;
  }
  return std::make_shared<hmac_keyring>(std::move(keys));
}

}  // namespace wist
