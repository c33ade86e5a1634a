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
constexpr std::int32_t kColdRequestLimit = 5;
const target_id kTarget("engine-1");
const std::string kLease = "cold/rennes";

configuration_body MakeBody() {
  configuration_body body = SampleBody();
  body.targets[0].cold_bearable_requests = kColdRequestLimit;
  body.domains[0].max_entry_instances = kProcesses;
  return body;
}

// An instance, which is also the coordinator while it holds the lease.
struct process {
  explicit process(timestamp started_at)
      : limiter(MakeColdStartLimiter({}, domain_id("rennes"), started_at)) {
    limiter->ApplyConfiguration(MakeBody());
    coordinator->ApplyConfiguration(MakeBody());
  }

  std::unique_ptr<i_cold_start_coordinator> coordinator =
      MakeColdStartCoordinator({});
  std::unique_ptr<i_cold_start_limiter> limiter;
  timestamp paused_until;
  // The process that this instance sends its permit requests to.
  int coordinator_index = 0;
};

struct running_request {
  int owner = 0;
  timestamp ends_at;
};

struct delayed_permit {
  int member = 0;
  cold_permit permit;
  timestamp requested_at;
  timestamp arrives_at;
};

// Simulates a failure domain with one cold target under random process pauses,
// process replacements, platform outages, delayed permits and permit requests
// to processes that are not the coordinator.
class cold_target_simulation {
 public:
  explicit cold_target_simulation(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kProcesses; ++i)
      processes_.emplace_back(kStart - seconds(60));
  }

  void Run() {
    for (int step = 0; step < 1200; ++step) {
      now_ += kTick;
      EndRequests();
      InjectFaults();
      for (int i = 0; i < kProcesses; ++i) {
        if (now_ >= processes_[Index(i)].paused_until)
          Step(i);
      }
      DeliverPermits();
      most_running_ = std::max(most_running_, RunningTotal());
    }
  }

  int most_running() const { return most_running_; }
  int sent() const { return sent_; }

 private:
  static std::size_t Index(int i) { return static_cast<std::size_t>(i); }

  bool OneIn(int n) { return random_() % static_cast<std::uint64_t>(n) == 0; }

  int RunningTotal() const { return static_cast<int>(requests_.size()); }

  std::int32_t RunningOf(int owner) const {
    return static_cast<std::int32_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [&](const auto& r) { return r.owner == owner; }));
  }

  void EndRequests() {
    std::erase_if(requests_, [&](const auto& r) { return r.ends_at <= now_; });
  }

  void InjectFaults() {
    const int i = static_cast<int>(random_() % kProcesses);
    if (OneIn(60))
      processes_[Index(i)].paused_until =
          now_ + milliseconds(random_() % 12000);
    if (OneIn(300))
      ReplaceProcess(i);
    if (OneIn(200))
      platform_down_until_ = now_ + milliseconds(random_() % 15000);
    if (OneIn(10))
      processes_[Index(i)].coordinator_index =
          static_cast<int>(random_() % kProcesses);
  }

  // Replaces a process by a new one without any state. The old one's requests
  // end within the time after which engines drop generations without a reader.
  void ReplaceProcess(int i) {
    for (running_request& request : requests_) {
      if (request.owner != i)
        continue;
      request.owner = -1;
      request.ends_at = std::min(request.ends_at, now_ + seconds(6));
    }
    std::erase_if(delayed_permits_,
                  [&](const auto& d) { return d.member == i; });
    processes_[Index(i)] = process(now_);
    incarnation_[Index(i)] += 1;
  }

  std::string HolderName(int i) const {
    return std::to_string(i) + "/" + std::to_string(incarnation_[Index(i)]);
  }

  void Step(int i) {
    process& self = processes_[Index(i)];
    if (OneIn(10) && now_ >= platform_down_until_) {
      const auto lease =
          platform_.AcquireLease(kLease, HolderName(i), kLeaseValidity, now_);
      if (lease)
        self.coordinator->OnLease(*lease, now_);
    }
    if (OneIn(5))
      self.coordinator->OnReport(kTarget, DelayedReport(), now_);
    if (OneIn(8))
      RequestPermit(i);
    while (OneIn(2) &&
           RunningOf(i) < self.limiter->RequestLimit(kTarget, now_)) {
      requests_.push_back({i, now_ + milliseconds(500 + random_() % 8000)});
      ++sent_;
    }
    history_.push_back({now_, RunningTotal()});
    if (history_.size() > 200)
      history_.pop_front();
  }

  // Returns the newest report that is at least 300 ms old.
  target_report DelayedReport() const {
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

  void RequestPermit(int i) {
    process& self = processes_[Index(i)];
    process& coordinator = processes_[Index(self.coordinator_index)];
    if (now_ < coordinator.paused_until)
      return;
    const cold_permit_request permit_request =
        self.limiter->BuildPermitRequest(kTarget, RunningOf(i), 3);
    const auto permit = coordinator.coordinator->IssuePermits(
        instance_id(HolderName(i)), {permit_request}, now_)[0];
    delayed_permits_.push_back(
        {i, permit, now_, now_ + milliseconds(random_() % 2000)});
  }

  void DeliverPermits() {
    std::erase_if(delayed_permits_, [&](const delayed_permit& d) {
      if (d.arrives_at > now_)
        return false;
      processes_[Index(d.member)].limiter->OnPermit(d.permit, d.requested_at);
      return true;
    });
  }

  std::mt19937_64 random_;
  timestamp now_ = kStart;
  timestamp platform_down_until_ = kStart;
  stand_ins::platform_model platform_;
  std::vector<process> processes_;
  std::array<int, kProcesses> incarnation_{};
  std::vector<running_request> requests_;
  std::vector<delayed_permit> delayed_permits_;
  std::deque<std::pair<timestamp, int>> history_;
  int most_running_ = 0;
  int sent_ = 0;
};

}  // namespace

TEST_CASE("a cold target never runs more requests than its limit") {
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    cold_target_simulation simulation(seed);
    simulation.Run();
    INFO("seed " << seed);
    CHECK(simulation.most_running() <= kColdRequestLimit);
    sent += simulation.sent();
  }
  // Guards against a limit that holds only because almost no requests are sent.
  CHECK(sent > 400 * 10);
}

}  // namespace wist
