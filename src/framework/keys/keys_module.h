#ifndef FRAMEWORK_KEYS_KEYS_MODULE_H_
#define FRAMEWORK_KEYS_KEYS_MODULE_H_

#include <memory>
#include <string>

#include "framework/keys/i_keyring.h"

namespace wist {

// Parses "id:hex-secret[,id:hex-secret...]". Only the first key signs, but all
// keys verify. A key can therefore be rotated in two steps, during which tokens
// signed with the old key are still accepted. Throws std::invalid_argument if
// the text is malformed or a secret is shorter than 16 bytes.
std::shared_ptr<const i_keyring> MakeKeyring(const std::string& text);

}  // namespace wist

#endif  // FRAMEWORK_KEYS_KEYS_MODULE_H_
