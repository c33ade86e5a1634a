#ifndef LIMITS_LIMITS_MODULE_H_
#define LIMITS_LIMITS_MODULE_H_

#include <memory>

#include "limits/i_retry_budget.h"
#include "limits/i_workspace_limiter.h"

namespace wist {

// Number of different targets whose crashes quarantine a request.
inline constexpr std::size_t kCrashedTargetsToQuarantine = 2;

// Time for which a crash counts against a request.
inline constexpr seconds kCrashValidity{120};

std::unique_ptr<i_retry_budget> MakeRetryBudget();
std::unique_ptr<i_workspace_limiter> MakeWorkspaceLimiter();

}  // namespace wist

#endif  // LIMITS_LIMITS_MODULE_H_
