// Measures how many confirmations per second the platform's store sustains:
// several instances claim keys and record outcomes in one store with a limited
// rate, simulated on a virtual clock.

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>

#include "claims/internal/claim_batcher.h"
#include "stand_ins/common/option_parsing.h"
#include "stand_ins/platform/platform_model.h"

namespace wist::bench {
namespace {

constexpr timestamp kStart{seconds(1000)};
constexpr milliseconds kStoreRoundTripTime{3};
constexpr milliseconds kServiceTime{50};
constexpr milliseconds kClaimTimeout{3000};
constexpr milliseconds kOutcomeTimeout{10'000};
constexpr milliseconds kTickInterval{2};
const calendar_time kFirstKeyIssuedAt{seconds(1'700'000'000)};

struct claim_simulation_settings {
  int instances = 9;
  double rate = 100;  // Confirmations per second of all instances together.
  double seconds = 30;
  int store_writes_per_second = 300;
  std::uint64_t seed = 1;
  claim_settings claims;
};

struct scheduled_event {
  timestamp at;
  std::uint64_t sequence_number = 0;
  std::function<void()> action;
  bool operator>(const scheduled_event& other) const {
    return std::pair(at, sequence_number) >
           std::pair(other.at, other.sequence_number);
  }
};

class claim_simulation {
 public:
  explicit claim_simulation(const claim_simulation_settings& settings)
      : settings_(settings),
        random_(settings.seed),
        store_({.max_writes_per_second = settings.store_writes_per_second,
                .max_reads_per_second = 2000}),
        batchers_(static_cast<std::size_t>(settings.instances),
                  claim_batcher(settings.claims)) {}

  nlohmann::json Run() {
    ScheduleArrival();
    ScheduleTick(kStart);
    const timestamp end =
        kStart +
        microseconds(static_cast<std::int64_t>(settings_.seconds * 1e6));
    while (!queue_.empty() && queue_.top().at <= end) {
      const scheduled_event next = queue_.top();
      queue_.pop();
      now_ = next.at;
      next.action();
    }
    std::sort(claim_ms_.begin(), claim_ms_.end());
    const auto& counters = store_.counters();
    return {{"rate", settings_.rate},
            {"instances", settings_.instances},
            {"buckets", settings_.claims.buckets_per_slice},
            {"write_interval_ms", settings_.claims.write_interval.count()},
            {"confirmed_per_second",
             static_cast<double>(recorded_outcomes_) / settings_.seconds},
            {"granted", claim_ms_.size()},
            {"unavailable", unavailable_operations_},
            {"store_writes_per_second",
             static_cast<double>(counters.writes) / settings_.seconds},
            {"store_reads_per_second",
             static_cast<double>(counters.reads) / settings_.seconds},
            {"conflicts", counters.conflicts},
            {"refused", counters.refused},
            {"claim_ms",
             {{"p50", Quantile(0.5)},
              {"p95", Quantile(0.95)},
              {"p99", Quantile(0.99)}}}};
  }

 private:
  struct pending_operation {
    claim_ticket ticket;
    timestamp submitted_at;
    bool is_outcome = false;
  };

  double Quantile(double quantile) const {
    if (claim_ms_.empty())
      return 0;
    const auto last_index = static_cast<double>(claim_ms_.size() - 1);
    return claim_ms_[static_cast<std::size_t>(last_index * quantile)];
  }

  void Schedule(timestamp at, std::function<void()> action) {
    queue_.push({at, ++last_sequence_number_, std::move(action)});
  }

  void ScheduleTick(timestamp at) {
    Schedule(at, [this, at] {
      for (std::size_t i = 0; i < batchers_.size(); ++i) {
        HandleCompletedOperations(i, batchers_[i].Expire(now_));
        SendStoreCalls(i);
      }
      ScheduleTick(at + kTickInterval);
    });
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> interval_distribution(settings_.rate);
    Schedule(now_ + microseconds(static_cast<std::int64_t>(
                        interval_distribution(random_) * 1e6)),
             [this] {
               SubmitClaim();
               ScheduleArrival();
             });
  }

  // Submits a claim with a new key that is issued at the current time.
  void SubmitClaim() {
    const std::size_t i = random_() % batchers_.size();
    const auto issued_at =
        kFirstKeyIssuedAt +
        std::chrono::duration_cast<milliseconds>(now_ - kStart);
    const claim_ticket ticket{fmt::format("key-{}", ++key_count_),
                              std::to_string(key_count_), issued_at};
    const auto number = batchers_[i].Submit(claim_operation{ticket, "body"},
                                            now_, now_ + kClaimTimeout);
    pending_operations_[{i, number}] = {ticket, now_, false};
    SendStoreCalls(i);
  }

  void SendStoreCalls(std::size_t i) {
    while (const auto call = batchers_[i].NextCall(now_)) {
      const store_call sent_call = *call;
      Schedule(now_ + kStoreRoundTripTime / 2, [this, i, sent_call] {
        const store_response response = ExecuteStoreCall(sent_call);
        Schedule(
            now_ + kStoreRoundTripTime / 2, [this, i, sent_call, response] {
              const std::string bucket =
                  std::visit([](const auto& c) { return c.bucket; }, sent_call);
              HandleCompletedOperations(
                  i, batchers_[i].OnStoreResponse(bucket, response, now_));
              SendStoreCalls(i);
            });
      });
    }
  }

  store_response ExecuteStoreCall(const store_call& call) {
    if (const auto* swap = std::get_if<bucket_swap>(&call)) {
      if (!store_.AdmitWrite(now_))
        return store_unavailable{};
      return store_.CompareAndSwap(swap->bucket, swap->expected, swap->value);
    }
    if (!store_.AdmitRead(now_))
      return store_unavailable{};
    return store_.Read(std::get<bucket_read>(call).bucket);
  }

  void HandleCompletedOperations(
      std::size_t i,
      const std::vector<completed_operation>& completed) {
    for (const completed_operation& operation : completed) {
      const auto found = pending_operations_.find({i, operation.number});
      if (found == pending_operations_.end())
        continue;
      const pending_operation pending = found->second;
      pending_operations_.erase(found);
      if (std::holds_alternative<claim_store_unavailable>(operation.result)) {
        ++unavailable_operations_;
      } else if (pending.is_outcome) {
        ++recorded_outcomes_;
      } else {
        claim_ms_.push_back(ToMilliseconds(now_ - pending.submitted_at));
        ScheduleOutcome(i, pending.ticket);
      }
    }
  }

  void ScheduleOutcome(std::size_t i, const claim_ticket& ticket) {
    Schedule(now_ + kServiceTime, [this, i, ticket] {
      const auto number = batchers_[i].Submit(
          outcome_operation{ticket, {200, "{\"confirmed\":true}"}}, now_,
          now_ + kOutcomeTimeout);
      pending_operations_[{i, number}] = {ticket, now_, true};
      SendStoreCalls(i);
    });
  }

  const claim_simulation_settings settings_;
  std::mt19937_64 random_;
  stand_ins::platform_model store_;
  std::vector<claim_batcher> batchers_;
  timestamp now_ = kStart;
  std::uint64_t last_sequence_number_ = 0;
  std::uint64_t key_count_ = 0;
  std::priority_queue<scheduled_event,
                      std::vector<scheduled_event>,
                      std::greater<>>
      queue_;
  std::map<std::pair<std::size_t, operation_number>, pending_operation>
      pending_operations_;
  std::vector<double> claim_ms_;
  std::uint64_t recorded_outcomes_ = 0;
  std::uint64_t unavailable_operations_ = 0;
};

}  // namespace
}  // namespace wist::bench

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  wist::bench::claim_simulation_settings settings;
  std::int64_t interval_ms = settings.claims.write_interval.count();
  po::options_description options(
      "Simulates claims in a store with a limited rate");
  auto add = options.add_options();
  add("help", "print this text");
  add("rate", po::value(&settings.rate),
      "confirmations per second of all instances");
  add("instances", po::value(&settings.instances), "number of instances");
  add("buckets", po::value(&settings.claims.buckets_per_slice),
      "buckets per slice");
  add("write-interval-ms", po::value(&interval_ms),
      "minimum time between two writes of a bucket by one instance");
  add("seconds", po::value(&settings.seconds), "simulated time");
  add("seed", po::value(&settings.seed), "seed of the random numbers");
  if (!wist::stand_ins::ParseOptions(argc, argv, options))
    return 0;
  settings.claims.write_interval = wist::milliseconds(interval_ms);
  std::cout << wist::bench::claim_simulation(settings).Run().dump() << "\n";
  return 0;
}
