#include <algorithm>

#include "limits/limits_module.h"

namespace wist {
namespace {

// Retries earned by a first try.
constexpr double kRetriesAFirstTry = 0.09;

// Retries that may be saved up, so that a long calm does not pay for a storm.
constexpr double kMostSaved = 20;

// Lets the very first failure be retried.
constexpr double kInitialRetries = 1;

class retry_budget final : public i_retry_budget {
 public:
  void OnFirstTry() override {
    saved_ = std::min(kMostSaved, saved_ + kRetriesAFirstTry);
  }

  bool TryRetry() override {
    if (saved_ < 1)
      return false;
    saved_ -= 1;
    return true;
  }

 private:
  double saved_ = kInitialRetries;
};

}  // namespace

std::unique_ptr<i_retry_budget> MakeRetryBudget() {
  return std::make_unique<retry_budget>();
}

}  // namespace wist
