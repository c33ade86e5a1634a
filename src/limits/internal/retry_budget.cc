#include <algorithm>

#include "limits/limits_module.h"

namespace wist {
namespace {

// Retries added to the budget by each first attempt.
constexpr double kRetriesPerFirstAttempt = 0.09;

// Upper limit of the budget, so that a long quiet period does not allow a burst
// of retries.
constexpr double kMaxAvailableRetries = 20;

// Allows the first failure to be retried.
constexpr double kInitialRetries = 1;

class retry_budget final : public i_retry_budget {
 public:
  void OnFirstAttempt() override {
    available_retries_ = std::min(kMaxAvailableRetries,
                                  available_retries_ + kRetriesPerFirstAttempt);
  }

  bool TryConsumeRetry() override {
    if (available_retries_ < 1)
      return false;
    available_retries_ -= 1;
    return true;
  }

 private:
  double available_retries_ = kInitialRetries;
};

}  // namespace

std::unique_ptr<i_retry_budget> MakeRetryBudget() {
  return std::make_unique<retry_budget>();
}

}  // namespace wist
