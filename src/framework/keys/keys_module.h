#ifndef FRAMEWORK_KEYS_KEYS_MODULE_H_
#define FRAMEWORK_KEYS_KEYS_MODULE_H_

#include <memory>
#include <string>

#include "framework/keys/i_keyring.h"

namespace wist {

// Parses "id:hex-secret[,id:hex-secret...]". The first key signs, all verify,
// so that a key is replaced in two steps without refusing live tokens.
// Secrets have at least 16 bytes; throws std::invalid_argument.
std::shared_ptr<const i_keyring> MakeKeyring(const std::string& text);

}  // namespace wist

#endif  // FRAMEWORK_KEYS_KEYS_MODULE_H_
