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

// Threads that make store calls.
constexpr int kStoreWorkers = 4;
constexpr std::size_t kNonceBytes = 12;
constexpr milliseconds kStoreCallTimeout{1000};
constexpr milliseconds kMaxIdleWait{200};

// Threads that forward operations to other writers.
constexpr int kForwardWorkers = 4;

// Maximum time to wait for the response of another writer before this instance
// writes the bucket itself.
constexpr milliseconds kForwardTimeout{600};

const std::string& BucketOf(const store_call& call) {
  return std::visit(
      [](const auto& c) -> const std::string& { return c.bucket; }, call);
}

// Makes the store calls of a claim_batcher on worker threads. Callers block
// until their operation completes.
class claim_registry final : public i_claim_registry {
 public:
  claim_registry(std::shared_ptr<i_kv_store> store,
                 std::shared_ptr<const i_clock> clock,
                 const claim_settings& settings)
      : store_(std::move(store)),
        clock_(std::move(clock)),
        settings_(settings),
        batcher_(settings) {
    for (int i = 0; i < kStoreWorkers; ++i)
      workers_.emplace_back([this] { RunStoreWorker(); });
    for (int i = 0; i < kForwardWorkers; ++i)
      workers_.emplace_back([this] { RunForwardWorker(); });
  }

  ~claim_registry() override {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    work_available_.notify_all();
    outgoing_available_.notify_all();
    for (std::thread& worker : workers_)
      worker.join();
  }

  claim_result Claim(const idempotency_key& key,
                     const std::string& body_digest,
                     timestamp deadline) override {
    const claim_ticket ticket{key.text(), RandomHex(kNonceBytes),
                              key.issued_at()};
    return Execute(claim_operation{ticket, body_digest}, deadline);
  }

  std::vector<claim_result> ApplyForwarded(
      const std::vector<bucket_operation>& operations,
      timestamp deadline) override {
    std::unique_lock lock(mutex_);
    std::vector<operation_number> numbers;
    for (const bucket_operation& operation : operations) {
      numbers.push_back(batcher_.Submit(operation, clock_->Now(), deadline,
                                        operation_origin::forwarded));
      awaited_.insert(numbers.back());
    }
    work_available_.notify_one();
    std::vector<claim_result> results;
    for (const operation_number number : numbers)
      results.push_back(WaitForResult(lock, number));
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
        Execute(outcome_operation{ticket, outcome}, deadline);
    // A bucket confirms a recorded outcome by returning it as claim_replayed.
    return std::holds_alternative<claim_replayed>(result);
  }

  void Withdraw(const claim_ticket& ticket, timestamp deadline) override {
    Execute(withdraw_operation{ticket}, deadline);
  }

 private:
  // Operation that is forwarded to the writer of its bucket.
  struct outgoing_operation {
    bucket_operation operation;
    timestamp deadline;
    std::optional<claim_result> result;
    bool is_completed = false;
  };
  struct outgoing_queue {
    std::vector<outgoing_operation*> waiting;
    bool in_flight = false;
  };

  claim_result Execute(const bucket_operation& operation, timestamp deadline) {
    std::unique_lock lock(mutex_);
    if (const auto result = ExecuteAtWriter(lock, operation, deadline))
      return *result;
    // NOTE: The writer may have applied the operation or may still do so. It is
    // safe to apply it here too, because the nonce is the same.
    const operation_number number =
        batcher_.Submit(operation, clock_->Now(), deadline);
    awaited_.insert(number);
    work_available_.notify_one();
    return WaitForResult(lock, number);
  }

  claim_result WaitForResult(std::unique_lock<std::mutex>& lock,
                             operation_number number) {
    result_available_.wait(lock, [&] { return results_.contains(number); });
    auto extracted = results_.extract(number);
    return std::move(extracted.mapped());
  }

  // Forwards `operation` to the writer of its bucket and waits for the result.
  // Returns std::nullopt if this instance is the writer or the writer did not
  // complete the operation.
  std::optional<claim_result> ExecuteAtWriter(
      std::unique_lock<std::mutex>& lock,
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
    outgoing_available_.notify_one();
    result_available_.wait(lock, [&] { return outgoing.is_completed; });
    if (outgoing.result &&
        std::holds_alternative<claim_store_unavailable>(*outgoing.result))
      return std::nullopt;
    return outgoing.result;
  }

  void RunForwardWorker() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      const auto ready = std::find_if(
          outgoing_.begin(), outgoing_.end(), [](const auto& entry) {
            return !entry.second.in_flight && !entry.second.waiting.empty();
          });
      if (ready == outgoing_.end()) {
        outgoing_available_.wait_for(lock, kMaxIdleWait);
        continue;
      }
      ForwardBatch(lock, ready->first, ready->second);
    }
    for (auto& [writer, queue] : outgoing_)
      CompleteForwarded(queue.waiting, std::nullopt);
  }

  void ForwardBatch(std::unique_lock<std::mutex>& lock,
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
        forwarder->Forward(writer, operations, clock_->Now() + kForwardTimeout);
    lock.lock();
    queue.in_flight = false;
    CompleteForwarded(batch, results);
    outgoing_available_.notify_one();
  }

  void CompleteForwarded(
      const std::vector<outgoing_operation*>& batch,
      const std::optional<std::vector<claim_result>>& results) {
    for (std::size_t i = 0; i < batch.size(); ++i) {
      if (results && i < results->size())
        batch[i]->result = (*results)[i];
      batch[i]->is_completed = true;
    }
    result_available_.notify_all();
  }

  void RunStoreWorker() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      PublishResults(batcher_.Expire(clock_->Now()));
      const auto call = batcher_.NextCall(clock_->Now());
      if (!call) {
        work_available_.wait_for(lock, IdleWaitTime());
        continue;
      }
      lock.unlock();
      const store_response response = ExecuteCall(*call);
      lock.lock();
      PublishResults(
          batcher_.OnStoreResponse(BucketOf(*call), response, clock_->Now()));
    }
  }

  microseconds IdleWaitTime() const {
    const auto next = batcher_.NextWakeUp();
    if (!next)
      return kMaxIdleWait;
    return std::clamp<microseconds>(*next - clock_->Now(), milliseconds(1),
                                    kMaxIdleWait);
  }

  store_response ExecuteCall(const store_call& call) {
    const timestamp deadline = clock_->Now() + kStoreCallTimeout;
    try {
      if (const auto* swap = std::get_if<bucket_swap>(&call))
        return store_->CompareAndSwap(swap->bucket, swap->expected, swap->value,
                                      deadline);
      return store_->Read(BucketOf(call), deadline);
    } catch (const kv_unavailable&) {
      return store_unavailable{};
    }
  }

  void PublishResults(std::vector<completed_operation> completed) {
    if (completed.empty())
      return;
    for (completed_operation& operation : completed) {
      // No caller waits for withdrawals that the batcher queued itself.
      if (awaited_.erase(operation.number) > 0)
        results_.emplace(operation.number, std::move(operation.result));
    }
    result_available_.notify_all();
  }

  const std::shared_ptr<i_kv_store> store_;
  const std::shared_ptr<const i_clock> clock_;
  const claim_settings settings_;
  std::mutex mutex_;
  std::condition_variable work_available_;
  std::condition_variable result_available_;
  claim_batcher batcher_;
  std::condition_variable outgoing_available_;
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
