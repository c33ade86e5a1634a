#include <algorithm>
#include <optional>

#include "claims/claims_module.h"

namespace wist {
namespace {

constexpr int kSlicesPerSweep = 4;

// A new sweeper starts this long before the retention limit. Older slices were
// closed by earlier sweepers.
constexpr std::chrono::hours kInitialLookBack{1};

class claim_sweeper final : public i_claim_sweeper {
 public:
  claim_sweeper(std::shared_ptr<i_kv_store> store,
                const claim_settings& settings)
      : store_(std::move(store)), settings_(settings) {}

  void Sweep(calendar_time now, timestamp deadline) override {
    const calendar_time closable_until =
        now - kClaimRetention - settings_.slice_length;
    if (!next_)
      next_ = closable_until - kInitialLookBack;
    for (int i = 0; i < kSlicesPerSweep && *next_ <= closable_until; ++i) {
      for (int bucket = 0; bucket < settings_.buckets_per_slice; ++bucket)
        CloseClaimBucket(*store_, settings_, *next_, bucket, deadline);
      *next_ += settings_.slice_length;
    }
  }

 private:
  const std::shared_ptr<i_kv_store> store_;
  const claim_settings settings_;
  // Time within the next slice to close.
  std::optional<calendar_time> next_;
};

}  // namespace

std::unique_ptr<i_claim_sweeper> MakeClaimSweeper(
    std::shared_ptr<i_kv_store> store,
    const claim_settings& settings) {
  return std::make_unique<claim_sweeper>(std::move(store), settings);
}

}  // namespace wist
