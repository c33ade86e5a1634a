#ifndef FRAMEWORK_HTTP_I_BODY_BUDGET_H_
#define FRAMEWORK_HTTP_I_BODY_BUDGET_H_

#include <cstddef>
#include <functional>
#include <memory>

namespace wist {

// The memory of one request body that a server receives and holds until its
// request ends; released with the object.
class i_body_memory {
 public:
  virtual ~i_body_memory() = default;

  // The body has `bytes` in all. Returns whether it may be held.
  virtual bool Claim(std::size_t bytes) = 0;

  // `bytes` have arrived in all.
  virtual void OnReceived(std::size_t bytes) = 0;

  // The body has arrived completely.
  virtual void OnComplete() = 0;
};

// Limits the bodies that a server holds. Thread-safe.
class i_body_budget {
 public:
  virtual ~i_body_budget() = default;

  // `on_dropped` has to end the reception without blocking; it may be called
  // from another thread until the returned object is destroyed.
  virtual std::unique_ptr<i_body_memory> Add(
      std::function<void()> on_dropped) = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_HTTP_I_BODY_BUDGET_H_
