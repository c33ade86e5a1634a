#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "claims/claims_module.h"
#include "claims/internal/claim_batcher.h"
#include "framework/base/hashing.h"

namespace wist {
namespace {

constexpr int kWorkers = 4;
constexpr std::size_t kNonceBytes = 12;
constexpr milliseconds kCallLimit{1000};
constexpr milliseconds kIdleWait{200};

// Calls to other writers under way at once, and how long one may take before
// this instance writes itself.
constexpr int kForwarders = 4;
constexpr milliseconds kForwardLimit{600};

const std::string& BucketOf(const store_call& call) {
  return std::visit(
      [](const auto& c) -> const std::string& { return c.bucket; }, call);
}

// Runs the batcher's calls on a few threads and lets callers wait for them.
class claim_registry final : public i_claim_registry {
 public:
  claim_registry(std::shared_ptr<i_kv_store> store,
                 std::shared_ptr<const i_clock> clock,
                 const claim_settings& settings)
      : store_(std::move(store)),
        clock_(std::move(clock)),
        settings_(settings),
        batcher_(settings) {
    for (int i = 0; i < kWorkers; ++i)
      workers_.emplace_back([this] { Work(); });
    for (int i = 0; i < kForwarders; ++i)
      workers_.emplace_back([this] { ForwardQueued(); });
  }

  ~claim_registry() override {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    work_.notify_all();
    outgoing_ready_.notify_all();
    for (std::thread& worker : workers_)
      worker.join();
  }

  claim_result Claim(const idempotency_key& key,
                     const std::string& body_digest,
                     timestamp deadline) override {
    const claim_ticket ticket{key.text(), RandomHex(kNonceBytes),
                              key.issued_at()};
    return Run(claim_operation{ticket, body_digest}, deadline);
  }

  std::vector<claim_result> RunForwarded(
      const std::vector<bucket_operation>& operations,
      timestamp deadline) override {
    std::unique_lock lock(mutex_);
    std::vector<operation_number> numbers;
    for (const bucket_operation& operation : operations) {
      numbers.push_back(batcher_.Submit(operation, clock_->Now(), deadline,
                                        operation_origin::forwarded));
      awaited_.insert(numbers.back());
    }
    work_.notify_one();
    std::vector<claim_result> results;
    for (const operation_number number : numbers)
      results.push_back(TakeResult(lock, number));
    return results;
  }

  void SetForwarder(std::shared_ptr<i_claim_forwarder> forwarder) override {
    std::lock_guard lock(mutex_);
    forwarder_ = std::move(forwarder);
  }

  bool RecordOutcome(const claim_ticket& ticket,
                     const recorded_outcome& outcome,
                     timestamp deadline) override {
    const claim_result result =
        Run(outcome_operation{ticket, outcome}, deadline);
    return std::holds_alternative<claim_replayed>(result);
  }

  void Withdraw(const claim_ticket& ticket, timestamp deadline) override {
    Run(withdraw_operation{ticket}, deadline);
  }

 private:
  // An operation on its way to a bucket's writer.
  struct outgoing_operation {
    bucket_operation operation;
    timestamp deadline;
    std::optional<claim_result> result;
    bool answered = false;
  };
  struct outgoing_queue {
    std::vector<outgoing_operation*> waiting;
    bool in_flight = false;
  };

  claim_result Run(const bucket_operation& operation, timestamp deadline) {
    std::unique_lock lock(mutex_);
    if (const auto result = RunAtWriter(lock, operation, deadline))
      return *result;
    // NOTE: the writer may have done it, or may yet. The nonce is the same, so
    // doing it here as well settles it.
    const operation_number number =
        batcher_.Submit(operation, clock_->Now(), deadline);
    awaited_.insert(number);
    work_.notify_one();
    return TakeResult(lock, number);
  }

  claim_result TakeResult(std::unique_lock<std::mutex>& lock,
                          operation_number number) {
    settled_.wait(lock, [&] { return results_.contains(number); });
    auto node = results_.extract(number);
    return std::move(node.mapped());
  }

  // Returns nothing if this instance is the writer or the writer did not
  // settle the operation.
  std::optional<claim_result> RunAtWriter(std::unique_lock<std::mutex>& lock,
                                          const bucket_operation& operation,
                                          timestamp deadline) {
    if (!forwarder_)
      return std::nullopt;
    const claim_ticket& ticket = TicketOf(operation);
    const std::string writer = forwarder_->WriterOf(
        BucketKey(settings_, ticket.key, ticket.issued_at));
    if (writer.empty())
      return std::nullopt;
    outgoing_operation outgoing{operation, deadline, std::nullopt, false};
    outgoing_[writer].waiting.push_back(&outgoing);
    outgoing_ready_.notify_one();
    settled_.wait(lock, [&] { return outgoing.answered; });
    if (outgoing.result &&
        std::holds_alternative<claim_unavailable>(*outgoing.result))
      return std::nullopt;
    return outgoing.result;
  }

  void ForwardQueued() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      const auto ready = std::find_if(
          outgoing_.begin(), outgoing_.end(), [](const auto& entry) {
            return !entry.second.in_flight && !entry.second.waiting.empty();
          });
      if (ready == outgoing_.end()) {
        outgoing_ready_.wait_for(lock, kIdleWait);
        continue;
      }
      ForwardAll(lock, ready->first, ready->second);
    }
    for (auto& [writer, queue] : outgoing_)
      Answer(queue.waiting, std::nullopt);
  }

  void ForwardAll(std::unique_lock<std::mutex>& lock,
                  const std::string& writer,
                  outgoing_queue& queue) {
    std::vector<outgoing_operation*> batch;
    batch.swap(queue.waiting);
    queue.in_flight = true;
    std::vector<bucket_operation> operations;
    for (const outgoing_operation* outgoing : batch)
      operations.push_back(outgoing->operation);
    const auto forwarder = forwarder_;
    lock.unlock();
    const auto results =
        forwarder->Forward(writer, operations, clock_->Now() + kForwardLimit);
    lock.lock();
    queue.in_flight = false;
    Answer(batch, results);
    outgoing_ready_.notify_one();
  }

  void Answer(const std::vector<outgoing_operation*>& batch,
              const std::optional<std::vector<claim_result>>& results) {
    for (std::size_t i = 0; i < batch.size(); ++i) {
      if (results && i < results->size())
        batch[i]->result = (*results)[i];
      batch[i]->answered = true;
    }
    settled_.notify_all();
  }

  void Work() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      Publish(batcher_.Expire(clock_->Now()));
      const auto call = batcher_.NextCall(clock_->Now());
      if (!call) {
        work_.wait_for(lock, WaitTime());
        continue;
      }
      lock.unlock();
      const store_answer answer = MakeCall(*call);
      lock.lock();
      Publish(batcher_.OnAnswer(BucketOf(*call), answer, clock_->Now()));
    }
  }

  microseconds WaitTime() const {
    const auto next = batcher_.NextWakeUp();
    if (!next)
      return kIdleWait;
    return std::clamp<microseconds>(*next - clock_->Now(), milliseconds(1),
                                    kIdleWait);
  }

  store_answer MakeCall(const store_call& call) {
    const timestamp deadline = clock_->Now() + kCallLimit;
    try {
      if (const auto* swap = std::get_if<bucket_swap>(&call))
        return store_->CompareAndSwap(swap->bucket, swap->expected, swap->value,
                                      deadline);
      return store_->Read(BucketOf(call), deadline);
    } catch (const kv_unavailable&) {
      return store_unavailable{};
    }
  }

  void Publish(std::vector<completed_operation> completed) {
    if (completed.empty())
      return;
    for (completed_operation& operation : completed) {
      // Withdrawals that the batcher made itself have nobody waiting.
      if (awaited_.erase(operation.number) > 0)
        results_.emplace(operation.number, std::move(operation.result));
    }
    settled_.notify_all();
  }

  const std::shared_ptr<i_kv_store> store_;
  const std::shared_ptr<const i_clock> clock_;
  const claim_settings settings_;
  std::mutex mutex_;
  std::condition_variable work_;
  std::condition_variable settled_;
  claim_batcher batcher_;
  std::condition_variable outgoing_ready_;
  std::shared_ptr<i_claim_forwarder> forwarder_;
  std::map<std::string, outgoing_queue> outgoing_;
  std::set<operation_number> awaited_;
  std::map<operation_number, claim_result> results_;
  bool stopping_ = false;
  std::vector<std::thread> workers_;
};

}  // namespace

std::unique_ptr<i_claim_registry> MakeClaimRegistry(
    std::shared_ptr<i_kv_store> store,
    std::shared_ptr<const i_clock> clock,
    const claim_settings& settings) {
  return std::make_unique<claim_registry>(std::move(store), std::move(clock),
                                          settings);
}

void CloseClaimBucket(i_kv_store& store,
                      const claim_settings& settings,
                      calendar_time issued_at,
                      int bucket,
                      timestamp deadline) {
  const std::string key = BucketKey(settings, issued_at, bucket);
  const std::string closed = EncodeBucket({.closed = true});
  kv_entry entry = store.Read(key, deadline);
  while (!entry.value.empty() && entry.value != closed) {
    const auto result =
        store.CompareAndSwap(key, entry.revision, closed, deadline);
    if (!std::holds_alternative<kv_conflict>(result))
      return;
    entry = std::get<kv_conflict>(result).current;
  }
}

}  // namespace wist
