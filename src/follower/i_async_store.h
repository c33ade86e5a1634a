#ifndef FOLLOWER_I_ASYNC_STORE_H_
#define FOLLOWER_I_ASYNC_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "follower/store_revision.h"
#include "framework/base/time_types.h"

namespace wist {

// A change of one key. A deletion has no value.
struct store_change {
  std::string key;
  std::optional<std::string> value;
  store_revision revision;

  auto operator<=>(const store_change&) const = default;
};

// One page of the entries under a prefix, in the order of their keys.
struct range_page {
  std::vector<store_change> items;
  bool has_more = false;
  store_revision at_revision;
  // Age of the content when the page was created; 0 for a page from the store
  // itself.
  microseconds age{0};

  auto operator<=>(const range_page&) const = default;
};

// All changes after the requested revision, up to and including `at_revision`,
// which may be of a later era.
struct watch_page {
  std::vector<store_change> changes;
  store_revision at_revision;
  microseconds age{0};
  // Time for which the mirror held the call before it created the page; 0 if it
  // is not known.
  microseconds held{0};
  // The source has not had all content between the requested revision and
  // `at_revision`, so that entries may be missing which were written and
  // removed between the two.
  bool has_gap = false;

  auto operator<=>(const watch_page&) const = default;
};

enum class store_error {
  unavailable,  // No response, or the store currently rejects this instance.
  // The store no longer has the requested changes, or they are those of another
  // era.
  history_gone,
};

std::string_view StoreErrorName(store_error error);

using range_result = std::variant<range_page, store_error>;
using watch_result = std::variant<watch_page, store_error>;

// Non-blocking reads from a key-value service. Not thread-safe.
class i_store_reader {
 public:
  virtual ~i_store_reader() = default;

  // Reads one page of the entries under `prefix` whose keys follow `after_key`.
  virtual void ReadRange(const std::string& prefix,
                         const std::string& after_key,
                         std::function<void(range_result)> done) = 0;

  // Reads the changes after `since_revision`; waits up to `wait` for the first
  // one.
  virtual void Watch(const std::string& prefix,
                     store_revision since_revision,
                     milliseconds wait,
                     std::function<void(watch_result)> done) = 0;
};

// A lease of the store. Keys that were written under it are removed when it
// ends.
using store_lease = std::int64_t;

enum class lease_renewal {
  renewed,
  ended,    // The lease and its keys are gone.
  unknown,  // No response, or the store currently rejects this instance.
};

enum class put_result {
  written,
  changed,  // A key has another revision than expected.
  unknown,  // No response, or the store currently rejects this instance.
};

// The revision that a key is expected to have; 0 means that it does not exist.
struct key_condition {
  std::string key;
  store_revision revision;

  auto operator<=>(const key_condition&) const = default;
};

// Non-blocking access to the platform's key-value service. Not thread-safe.
class i_async_store : public i_store_reader {
 public:
  // Reads the entries under `prefix` as they were some seconds ago at most. It
  // costs a fraction of ReadRange.
  virtual void ReadRecent(const std::string& prefix,
                          std::function<void(range_result)> done) = 0;

  // Creates a lease that ends `validity` after the call or after its last
  // renewal.
  virtual void CreateLease(
      milliseconds validity,
      std::function<void(std::optional<store_lease>)> done) = 0;
  virtual void RenewLease(store_lease lease,
                          std::function<void(lease_renewal)> done) = 0;

  // Writes a key unconditionally. It is removed when the lease ends.
  virtual void PutUnderLease(const std::string& key,
                             const std::string& value,
                             store_lease lease,
                             std::function<void(bool written)> done) = 0;

  // The same, only if the key still has `expected_revision`; 0 means that it
  // does not exist.
  virtual void PutIfUnchanged(const std::string& key,
                              store_revision expected_revision,
                              const std::string& value,
                              store_lease lease,
                              std::function<void(put_result)> done) = 0;

  // Writes a key that no lease removes, only if all `conditions` hold. After
  // `unknown` the write may have been executed, or may still be, for as long as
  // the conditions hold.
  virtual void PutDurably(const std::vector<key_condition>& conditions,
                          const std::string& key,
                          const std::string& value,
                          std::function<void(put_result)> done) = 0;
};

}  // namespace wist

#endif  // FOLLOWER_I_ASYNC_STORE_H_
