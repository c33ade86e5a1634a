#ifndef FRAMEWORK_KEYS_I_KEYRING_H_
#define FRAMEWORK_KEYS_I_KEYRING_H_

#include <string>
#include <string_view>

namespace wist {

// Signs and verifies short texts with shared secrets. Thread-safe.
class i_keyring {
 public:
  virtual ~i_keyring() = default;

  // Returns "<key id>.<signature>" computed with the first key. A signature is
  // valid only for the `purpose` it was created for.
  virtual std::string Sign(std::string_view purpose,
                           std::string_view text) const = 0;

  // Returns whether `signature` was created with one of the keys of the ring.
  // The comparison takes constant time.
  virtual bool Verify(std::string_view purpose,
                      std::string_view text,
                      std::string_view signature) const = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_KEYS_I_KEYRING_H_
