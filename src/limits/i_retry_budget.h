#ifndef LIMITS_I_RETRY_BUDGET_H_
#define LIMITS_I_RETRY_BUDGET_H_

namespace wist {

// Limits retries to a fraction of first attempts. Not thread-safe.
class i_retry_budget {
 public:
  virtual ~i_retry_budget() = default;
  virtual void OnFirstAttempt() = 0;

  // Consumes one retry from the budget. Returns false if none is left.
  virtual bool TryConsumeRetry() = 0;
};

}  // namespace wist

#endif  // LIMITS_I_RETRY_BUDGET_H_
