#ifndef LIMITS_BODY_BUDGET_H_
#define LIMITS_BODY_BUDGET_H_

#include <cstddef>
#include <memory>

#include "framework/base/i_clock.h"
#include "framework/http/i_body_budget.h"

namespace wist {

// A body is held as received, as parsed and as sent to its target. Returns the
// memory that a request with a body of this size needs.
constexpr std::size_t BodyMemoryBytes(std::size_t body_bytes) {
  constexpr std::size_t kCopies = 3;
  return kCopies * body_bytes;
}

// Makes a budget that decides as request_memory does.
std::shared_ptr<i_body_budget> MakeBodyBudget(
    std::size_t limit_bytes,
    std::shared_ptr<const i_clock> clock);

}  // namespace wist

#endif  // LIMITS_BODY_BUDGET_H_
