// Confirmations a second that the platform's store carries: several instances
// claim and record over one store with a bounded rate, on a virtual clock.

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
constexpr milliseconds kStoreTime{3};
constexpr milliseconds kServiceTime{50};
constexpr milliseconds kClaimLimit{3000};
constexpr milliseconds kOutcomeLimit{10'000};
constexpr milliseconds kTick{2};
const calendar_time kIssued{seconds(1'700'000'000)};

struct claim_run_settings {
  int instances = 9;
  double rate = 100;  // Confirmations a second over all instances.
  double seconds = 30;
  int writes_a_second = 300;
  std::uint64_t seed = 1;
  claim_settings claims;
};

struct store_event {
  timestamp at;
  std::uint64_t order = 0;
  std::function<void()> action;
  bool operator>(const store_event& other) const {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

class claim_run {
 public:
  explicit claim_run(const claim_run_settings& settings)
      : settings_(settings),
        random_(settings.seed),
        store_({.max_writes_per_second = settings.writes_a_second,
                .max_reads_per_second = 2000}),
        batchers_(static_cast<std::size_t>(settings.instances),
                  claim_batcher(settings.claims)) {}

  nlohmann::json Run() {
    ScheduleArrival();
    Repeat(kStart);
    const timestamp end =
        kStart +
        microseconds(static_cast<std::int64_t>(settings_.seconds * 1e6));
    while (!queue_.empty() && queue_.top().at <= end) {
      const store_event next = queue_.top();
      queue_.pop();
      now_ = next.at;
      next.action();
    }
    std::sort(claim_ms_.begin(), claim_ms_.end());
    const auto& counters = store_.counters();
    return {{"rate", settings_.rate},
            {"instances", settings_.instances},
            {"buckets", settings_.claims.buckets_a_slice},
            {"write_interval_ms", settings_.claims.write_interval.count()},
            {"confirmed_per_second",
             static_cast<double>(recorded_) / settings_.seconds},
            {"granted", claim_ms_.size()},
            {"unavailable", unavailable_},
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
  struct waiting {
    claim_ticket ticket;
    timestamp since;
    bool outcome = false;
  };

  double Quantile(double part) const {
    if (claim_ms_.empty())
      return 0;
    const auto last = static_cast<double>(claim_ms_.size() - 1);
    return claim_ms_[static_cast<std::size_t>(last * part)];
  }

  void Schedule(timestamp at, std::function<void()> action) {
    queue_.push({at, ++order_, std::move(action)});
  }

  void Repeat(timestamp at) {
    Schedule(at, [this, at] {
      for (std::size_t i = 0; i < batchers_.size(); ++i) {
        Settle(i, batchers_[i].Expire(now_));
        MakeCalls(i);
      }
      Repeat(at + kTick);
    });
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> wait(settings_.rate);
    Schedule(
        now_ + microseconds(static_cast<std::int64_t>(wait(random_) * 1e6)),
        [this] {
          Arrive();
          ScheduleArrival();
        });
  }

  // Keys are issued when they are sent.
  void Arrive() {
    const std::size_t i = random_() % batchers_.size();
    const auto issued =
        kIssued + std::chrono::duration_cast<milliseconds>(now_ - kStart);
    const claim_ticket ticket{fmt::format("key-{}", ++keys_),
                              std::to_string(keys_), issued};
    const auto number = batchers_[i].Submit(claim_operation{ticket, "body"},
                                            now_, now_ + kClaimLimit);
    waiting_[{i, number}] = {ticket, now_, false};
    MakeCalls(i);
  }

  void MakeCalls(std::size_t i) {
    while (const auto call = batchers_[i].NextCall(now_)) {
      const store_call made = *call;
      Schedule(now_ + kStoreTime / 2, [this, i, made] {
        const store_answer answer = Answer(made);
        Schedule(now_ + kStoreTime / 2, [this, i, made, answer] {
          const std::string bucket =
              std::visit([](const auto& c) { return c.bucket; }, made);
          Settle(i, batchers_[i].OnAnswer(bucket, answer, now_));
          MakeCalls(i);
        });
      });
    }
  }

  store_answer Answer(const store_call& call) {
    if (const auto* swap = std::get_if<bucket_swap>(&call)) {
      if (!store_.AdmitWrite(now_))
        return store_unavailable{};
      return store_.CompareAndSwap(swap->bucket, swap->expected, swap->value);
    }
    if (!store_.AdmitRead(now_))
      return store_unavailable{};
    return store_.Read(std::get<bucket_read>(call).bucket);
  }

  void Settle(std::size_t i, const std::vector<completed_operation>& done) {
    for (const completed_operation& operation : done) {
      const auto found = waiting_.find({i, operation.number});
      if (found == waiting_.end())
        continue;
      const waiting settled = found->second;
      waiting_.erase(found);
      if (std::holds_alternative<claim_unavailable>(operation.result)) {
        ++unavailable_;
      } else if (settled.outcome) {
        ++recorded_;
      } else {
        claim_ms_.push_back(ToMilliseconds(now_ - settled.since));
        RecordLater(i, settled.ticket);
      }
    }
  }

  void RecordLater(std::size_t i, const claim_ticket& ticket) {
    Schedule(now_ + kServiceTime, [this, i, ticket] {
      const auto number = batchers_[i].Submit(
          outcome_operation{ticket, {200, "{\"confirmed\":true}"}}, now_,
          now_ + kOutcomeLimit);
      waiting_[{i, number}] = {ticket, now_, true};
      MakeCalls(i);
    });
  }

  const claim_run_settings settings_;
  std::mt19937_64 random_;
  stand_ins::platform_model store_;
  std::vector<claim_batcher> batchers_;
  timestamp now_ = kStart;
  std::uint64_t order_ = 0;
  std::uint64_t keys_ = 0;
  std::priority_queue<store_event, std::vector<store_event>, std::greater<>>
      queue_;
  std::map<std::pair<std::size_t, operation_number>, waiting> waiting_;
  std::vector<double> claim_ms_;
  std::uint64_t recorded_ = 0;
  std::uint64_t unavailable_ = 0;
};

}  // namespace
}  // namespace wist::bench

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  wist::bench::claim_run_settings settings;
  std::int64_t interval_ms = settings.claims.write_interval.count();
  po::options_description options("claims over a store with a bounded rate");
  auto add = options.add_options();
  add("help", "print this text");
  add("rate", po::value(&settings.rate), "confirmations a second");
  add("instances", po::value(&settings.instances), "instances");
  add("buckets", po::value(&settings.claims.buckets_a_slice),
      "buckets a slice");
  add("write-interval-ms", po::value(&interval_ms),
      "shortest time between two writes of a bucket by one instance");
  add("seconds", po::value(&settings.seconds), "simulated time");
  add("seed", po::value(&settings.seed), "seed");
  if (!wist::stand_ins::ParseOptions(argc, argv, options))
    return 0;
  settings.claims.write_interval = wist::milliseconds(interval_ms);
  std::cout << wist::bench::claim_run(settings).Run().dump() << "\n";
  return 0;
}
