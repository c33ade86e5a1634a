#ifndef STORE_STORE_TYPES_H_
#define STORE_STORE_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>

#include "framework/base/time_types.h"

namespace wist {

// A value and the revision of its last write. Revision 0 means that the key has
// no value.
struct kv_entry {
  std::string value;
  std::uint64_t revision = 0;

  auto operator<=>(const kv_entry&) const = default;
};

// The key-value service or the instance list could not be reached or rejected
// the call. A compare-and-swap that throws this cannot take effect.
class kv_unavailable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Outcomes of a compare-and-swap.
struct kv_written {
  std::uint64_t revision = 0;
};
struct kv_conflict {
  kv_entry current;
};
// The request was sent but no valid response arrived: the write may have taken
// effect or may still do so.
struct kv_in_doubt {
  std::string reason;
};
using kv_swap_result = std::variant<kv_written, kv_conflict, kv_in_doubt>;

// A lease. Its fencing number orders the successive holders.
struct kv_lease {
  std::string name;
  std::string holder;
  std::uint64_t fencing_number = 0;
  timestamp deadline;

  auto operator<=>(const kv_lease&) const = default;
};

// An entry of the platform's instance list, which may be out of date.
struct listed_instance {
  std::string id;
  std::string domain;
  std::string peer_address;
  bool leaving = false;

  auto operator<=>(const listed_instance&) const = default;
};

}  // namespace wist

#endif  // STORE_STORE_TYPES_H_
