#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "coldstart/coldstart_module.h"
#include "configuration/tests/mocks/sample_configuration.h"
#include "stand_ins/platform/platform_model.h"

namespace wist {
namespace {

constexpr timestamp kStart{seconds(1000)};
constexpr milliseconds kTick{50};
constexpr milliseconds kLeaseValidity{6000};
constexpr int kProcesses = 3;
constexpr std::int32_t kBearable = 5;
const target_id kTarget("engine-1");
const std::string kLease = "cold/rennes";

configuration_body Body() {
  configuration_body body = SampleBody();
  body.targets[0].cold_bearable_requests = kBearable;
  body.domains[0].max_entry_instances = kProcesses;
  return body;
}

// An instance that is member and, while it holds the lease, steward.
struct process {
  explicit process(timestamp started_at)
      : allowance(MakeColdAllowance({}, domain_id("rennes"), started_at)) {
    allowance->ApplyConfiguration(Body());
    steward->ApplyConfiguration(Body());
  }

  std::unique_ptr<i_cold_steward> steward = MakeColdSteward({});
  std::unique_ptr<i_cold_allowance> allowance;
  timestamp paused_until;
  // Where this instance believes the steward to be.
  int believed_steward = 0;
};

struct running_request {
  int owner = 0;
  timestamp ends_at;
};

struct delayed_permit {
  int member = 0;
  cold_permit permit;
  timestamp asked_at;
  timestamp arrives_at;
};

// Random pauses, deaths, platform outages, stalled answers and wrong beliefs
// about who the steward is.
class cold_run {
 public:
  explicit cold_run(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kProcesses; ++i)
      processes_.emplace_back(kStart - seconds(60));
  }

  void Run() {
    for (int step = 0; step < 1200; ++step) {
      now_ += kTick;
      EndRequests();
      Disturb();
      for (int i = 0; i < kProcesses; ++i) {
        if (now_ >= processes_[At(i)].paused_until)
          Act(i);
      }
      Deliver();
      most_running_ = std::max(most_running_, Running());
    }
  }

  int most_running() const { return most_running_; }
  int sent() const { return sent_; }

 private:
  static std::size_t At(int i) { return static_cast<std::size_t>(i); }

  bool Chance(int one_in) {
    return random_() % static_cast<std::uint64_t>(one_in) == 0;
  }

  int Running() const { return static_cast<int>(requests_.size()); }

  std::int32_t RunningOf(int owner) const {
    return static_cast<std::int32_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [&](const auto& r) { return r.owner == owner; }));
  }

  void EndRequests() {
    std::erase_if(requests_, [&](const auto& r) { return r.ends_at <= now_; });
  }

  void Disturb() {
    const int i = static_cast<int>(random_() % kProcesses);
    if (Chance(60))
      processes_[At(i)].paused_until = now_ + milliseconds(random_() % 12000);
    if (Chance(300))
      Replace(i);
    if (Chance(200))
      platform_down_until_ = now_ + milliseconds(random_() % 15000);
    if (Chance(10))
      processes_[At(i)].believed_steward =
          static_cast<int>(random_() % kProcesses);
  }

  // The new process knows nothing; the old one's requests end within the time
  // after which engines drop generations without a reader.
  void Replace(int i) {
    for (running_request& request : requests_) {
      if (request.owner != i)
        continue;
      request.owner = -1;
      request.ends_at = std::min(request.ends_at, now_ + seconds(6));
    }
    std::erase_if(delayed_, [&](const auto& d) { return d.member == i; });
    processes_[At(i)] = process(now_);
    generation_[At(i)] += 1;
  }

  std::string Name(int i) const {
    return std::to_string(i) + "/" + std::to_string(generation_[At(i)]);
  }

  void Act(int i) {
    process& own = processes_[At(i)];
    if (Chance(10) && now_ >= platform_down_until_) {
      const auto lease =
          platform_.AcquireLease(kLease, Name(i), kLeaseValidity, now_);
      if (lease)
        own.steward->OnLease(*lease, now_);
    }
    if (Chance(5))
      own.steward->OnReport(kTarget, LaggedReport(), now_);
    if (Chance(8))
      AskForPermit(i);
    while (Chance(2) &&
           RunningOf(i) < own.allowance->Allowance(kTarget, now_)) {
      requests_.push_back({i, now_ + milliseconds(500 + random_() % 8000)});
      ++sent_;
    }
    history_.push_back({now_, Running()});
    if (history_.size() > 200)
      history_.pop_front();
  }

  // The newest report that is at least 300 ms old.
  target_report LaggedReport() const {
    target_report report;
    report.cold = true;
    report.taken_at = kStart;
    for (const auto& [at, running] : history_) {
      if (at > now_ - milliseconds(300))
        break;
      report.taken_at = at;
      report.running = running;
    }
    return report;
  }

  void AskForPermit(int i) {
    process& own = processes_[At(i)];
    process& steward = processes_[At(own.believed_steward)];
    if (now_ < steward.paused_until)
      return;
    const cold_request ask = own.allowance->Ask(kTarget, RunningOf(i), 3);
    const auto permit =
        steward.steward->Exchange(instance_id(Name(i)), {ask}, now_)[0];
    delayed_.push_back(
        {i, permit, now_, now_ + milliseconds(random_() % 2000)});
  }

  void Deliver() {
    std::erase_if(delayed_, [&](const delayed_permit& d) {
      if (d.arrives_at > now_)
        return false;
      processes_[At(d.member)].allowance->OnPermit(d.permit, d.asked_at);
      return true;
    });
  }

  std::mt19937_64 random_;
  timestamp now_ = kStart;
  timestamp platform_down_until_ = kStart;
  stand_ins::platform_model platform_;
  std::vector<process> processes_;
  std::array<int, kProcesses> generation_{};
  std::vector<running_request> requests_;
  std::vector<delayed_permit> delayed_;
  std::deque<std::pair<timestamp, int>> history_;
  int most_running_ = 0;
  int sent_ = 0;
};

}  // namespace

TEST_CASE("a cold target never runs more than it bears") {
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    cold_run run(seed);
    run.Run();
    INFO("seed " << seed);
    CHECK(run.most_running() <= kBearable);
    sent += run.sent();
  }
  // The bound is not held by sending nothing.
  CHECK(sent > 400 * 10);
}

}  // namespace wist
