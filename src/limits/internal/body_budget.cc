#include "limits/body_budget.h"

#include <map>
#include <mutex>
#include <utility>

#include "limits/request_memory.h"

namespace wist {
namespace {

// State that the budget shares with the bodies it has admitted.
class shared_memory {
 public:
  shared_memory(std::size_t limit_bytes, std::shared_ptr<const i_clock> clock)
      : memory_(limit_bytes), clock_(std::move(clock)) {}

  request_number Add(std::function<void()> on_dropped) {
    const std::lock_guard lock(mutex_);
    const request_number number = memory_.Add(clock_->Now());
    holders_.emplace(number, std::move(on_dropped));
    return number;
  }

  bool Claim(request_number number, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    const memory_decision decision =
        memory_.Claim(number, bytes, /*other_bytes=*/0, clock_->Now());
    for (const request_number victim : decision.victims) {
      memory_.Remove(victim);
      holders_.at(victim)();
    }
    return decision.is_admitted;
  }

  void OnReceived(request_number number, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    memory_.OnReceived(number, bytes, clock_->Now());
  }

  void OnComplete(request_number number) {
    const std::lock_guard lock(mutex_);
    memory_.OnComplete(number);
  }

  void Remove(request_number number) {
    const std::lock_guard lock(mutex_);
    memory_.Remove(number);
    holders_.erase(number);
  }

 private:
  std::mutex mutex_;
  request_memory memory_;
  const std::shared_ptr<const i_clock> clock_;
  std::map<request_number, std::function<void()>> holders_;
};

class body_memory final : public i_body_memory {
 public:
  body_memory(std::shared_ptr<shared_memory> shared, request_number number)
      : shared_(std::move(shared)), number_(number) {}
  ~body_memory() override { shared_->Remove(number_); }

  bool Claim(std::size_t bytes) override {
    return shared_->Claim(number_, BodyMemoryBytes(bytes));
  }
  void OnReceived(std::size_t bytes) override {
    shared_->OnReceived(number_, bytes);
  }
  void OnComplete() override { shared_->OnComplete(number_); }

 private:
  const std::shared_ptr<shared_memory> shared_;
  const request_number number_;
};

class body_budget final : public i_body_budget {
 public:
  body_budget(std::size_t limit_bytes, std::shared_ptr<const i_clock> clock)
      : shared_(
            std::make_shared<shared_memory>(limit_bytes, std::move(clock))) {}

  std::unique_ptr<i_body_memory> Add(
      std::function<void()> on_dropped) override {
    const request_number number = shared_->Add(std::move(on_dropped));
    return std::make_unique<body_memory>(shared_, number);
  }

 private:
  const std::shared_ptr<shared_memory> shared_;
};

}  // namespace

std::shared_ptr<i_body_budget> MakeBodyBudget(
    std::size_t limit_bytes,
    std::shared_ptr<const i_clock> clock) {
  return std::make_shared<body_budget>(limit_bytes, std::move(clock));
}

}  // namespace wist
