#ifndef STORE_I_KV_STORE_H_
#define STORE_I_KV_STORE_H_

#include <optional>
#include <string>

#include "store/store_types.h"

namespace wist {

// The platform's key-value service, meant for small amounts of data. Each call
// counts against the service's rate limits. Thread-safe.
class i_kv_store {
 public:
  virtual ~i_kv_store() = default;

  // Throws kv_unavailable.
  virtual kv_entry Read(const std::string& key, timestamp deadline) = 0;

  // Writes `value` if the key is at revision `expected_revision` (0: the key
  // has no value). Throws kv_unavailable only if the write cannot take effect.
  virtual kv_swap_result CompareAndSwap(const std::string& key,
                                        std::uint64_t expected_revision,
                                        const std::string& value,
                                        timestamp deadline) = 0;

  // Waits until the revision of the key differs from `known_revision`. Returns
  // nullopt if it still is the same at `deadline`. Throws kv_unavailable.
  virtual std::optional<kv_entry> Watch(const std::string& key,
                                        std::uint64_t known_revision,
                                        timestamp deadline) = 0;

  // Acquires or renews lease `name` for `holder`. Returns nullopt while another
  // holder has it. The deadline of the returned lease counts from before the
  // request was sent. Throws kv_unavailable.
  virtual std::optional<kv_lease> AcquireLease(const std::string& name,
                                               const std::string& holder,
                                               milliseconds validity,
                                               timestamp deadline) = 0;

  // Releases a lease before its deadline. Errors are ignored, because the lease
  // expires anyway.
  virtual void ReleaseLease(const kv_lease& lease, timestamp deadline) = 0;
};

}  // namespace wist

#endif  // STORE_I_KV_STORE_H_
