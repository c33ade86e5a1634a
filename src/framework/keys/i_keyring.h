#ifndef FRAMEWORK_KEYS_I_KEYRING_H_
#define FRAMEWORK_KEYS_I_KEYRING_H_

#include <string>
#include <string_view>

namespace wist {

// Signs and verifies short texts with shared secrets. Thread-safe.
class i_keyring {
 public:
  virtual ~i_keyring() = default;

  // Returns "<key id>.<signature>" made with the first key. `purpose`
  // separates signatures of different uses.
  virtual std::string Sign(std::string_view purpose,
                           std::string_view text) const = 0;

  // Returns whether any key of the ring made `signature`; compares in
  // constant time.
  virtual bool Verify(std::string_view purpose,
                      std::string_view text,
                      std::string_view signature) const = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_KEYS_I_KEYRING_H_
