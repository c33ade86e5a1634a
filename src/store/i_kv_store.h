#ifndef STORE_I_KV_STORE_H_
#define STORE_I_KV_STORE_H_

#include <optional>
#include <string>

#include "store/store_types.h"

namespace wist {

// The platform's small key-value service. Thread-safe. Each call counts
// against the service's rates.
class i_kv_store {
 public:
  virtual ~i_kv_store() = default;

  // Throws kv_unavailable.
  virtual kv_entry Read(const std::string& key, timestamp deadline) = 0;

  // Writes `value` if the key is at revision `expected` (0: has no value).
  // Throws kv_unavailable only if the write cannot take effect.
  virtual kv_swap_result CompareAndSwap(const std::string& key,
                                        std::uint64_t expected,
                                        const std::string& value,
                                        timestamp deadline) = 0;

  // Waits until the key is at another revision than `known` or until
  // `deadline`; returns nothing in the latter case. Throws kv_unavailable.
  virtual std::optional<kv_entry> Watch(const std::string& key,
                                        std::uint64_t known,
                                        timestamp deadline) = 0;

  // Takes or renews lease `name` for `holder`. Returns nothing while another
  // holds it. The lease's deadline counts from before the call left. Throws
  // kv_unavailable.
  virtual std::optional<kv_lease> AcquireLease(const std::string& name,
                                               const std::string& holder,
                                               milliseconds validity,
                                               timestamp deadline) = 0;

  // Gives a lease up early. Errors are dropped: the lease lapses anyway.
  virtual void ReleaseLease(const kv_lease& lease, timestamp deadline) = 0;
};

}  // namespace wist

#endif  // STORE_I_KV_STORE_H_
