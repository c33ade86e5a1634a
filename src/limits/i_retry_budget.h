#ifndef LIMITS_I_RETRY_BUDGET_H_
#define LIMITS_I_RETRY_BUDGET_H_

namespace wist {

// Keeps retries to a fraction of first tries. Not thread-safe.
class i_retry_budget {
 public:
  virtual ~i_retry_budget() = default;
  virtual void OnFirstTry() = 0;

  // Takes one retry from the budget; returns whether there was one.
  virtual bool TryRetry() = 0;
};

}  // namespace wist

#endif  // LIMITS_I_RETRY_BUDGET_H_
