#ifndef STORE_TESTS_MOCKS_MODEL_KV_STORE_H_
#define STORE_TESTS_MOCKS_MODEL_KV_STORE_H_

#include <memory>

#include "framework/base/i_clock.h"
#include "stand_ins/platform/platform_model.h"
#include "store/i_kv_store.h"

namespace wist {

// An in-memory store that can simulate an outage, and the loss of writes or of
// the responses to them.
class model_kv_store final : public i_kv_store {
 public:
  explicit model_kv_store(const i_clock& clock) : clock_(clock) {}

  kv_entry Read(const std::string& key, timestamp) override {
    ThrowIfDown();
    return model.Read(key);
  }

  kv_swap_result CompareAndSwap(const std::string& key,
                                std::uint64_t expected_revision,
                                const std::string& value,
                                timestamp) override {
    ThrowIfDown();
    if (lost_writes > 0) {
      --lost_writes;
      return kv_in_doubt{"lost before it took effect"};
    }
    const kv_swap_result result =
        model.CompareAndSwap(key, expected_revision, value);
    if (lost_responses > 0) {
      --lost_responses;
      return kv_in_doubt{"lost after it took effect"};
    }
    return result;
  }

  std::optional<kv_entry> Watch(const std::string& key,
                                std::uint64_t known_revision,
                                timestamp) override {
    ThrowIfDown();
    const kv_entry entry = model.Read(key);
    if (entry.revision == known_revision)
      return std::nullopt;
    return entry;
  }

  std::optional<kv_lease> AcquireLease(const std::string& name,
                                       const std::string& holder,
                                       milliseconds validity,
                                       timestamp) override {
    ThrowIfDown();
    return model.AcquireLease(name, holder, validity, clock_.Now());
  }

  void ReleaseLease(const kv_lease& lease, timestamp) override {
    model.ReleaseLease(lease.name, lease.holder);
  }

  stand_ins::platform_model model;
  bool down = false;
  int lost_responses = 0;
  int lost_writes = 0;

 private:
  void ThrowIfDown() const {
    if (down)
      throw kv_unavailable("the store is down");
  }

  const i_clock& clock_;
};

}  // namespace wist

#endif  // STORE_TESTS_MOCKS_MODEL_KV_STORE_H_
