#include "rollout/tests/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "rollout/exposure.h"
#include "rollout/rollout_tracker.h"

namespace wist {
namespace {

constexpr double kStepS = 0.01;
constexpr double kAdvanceS = 0.1;
constexpr double kReportS = 0.25;
constexpr int kDeciders = 3;
constexpr int kMaxGroups = 16;
constexpr int kDomains = 3;
constexpr std::uint32_t kNoisyRoute = 3;
constexpr double kStreamS = 8;
constexpr double kMoveS = 0.4;
constexpr std::int64_t kRequestRevision = 1;
const service_id kService("s");

struct run {
  double end_s = 0;
  double response_s = 0;
  int group = 0;
  bool is_own = false;  // Of the instance whose tracker is simulated.
  version_side side = version_side::old_version;
  sample_stratum stratum;
  response_sample sample;
  bool is_bad = false;  // Bad or slow because of the version.
  bool is_moving = false;
};

struct group_state {
  explicit group_state(const rollout_settings& settings) : tracker(settings) {}

  rollout_tracker tracker;
  version_samples others;  // Of the instances without a tracker.
  struct snapshot {
    double at_s = 0;
    version_samples sums;
    std::uint64_t unfinished = 0;
    bool found_bad = false;
  };
  std::deque<snapshot> snapshots;
  int open_old = 0;
  int open_own_old = 0;
};

class fleet {
 public:
  fleet(const fleet_case& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(seed) {
    const int groups = std::min(scenario.instances, kMaxGroups);
    for (int i = 0; i < groups; ++i) {
      groups_.emplace_back(rollout_settings{});
      groups_.back().tracker.SetServices({kService});
      std::vector<rollout_target> targets;
      for (const char* version : {"v1", "v2"}) {
        targets.push_back({target_id(version), kService, version,
                           domain_id("d"), version[1] - '0'});
      }
      groups_.back().tracker.SetTargets(targets);
      groups_.back().tracker.Advance(Time());
      request_seen_s_.push_back(Uniform(0.05, 0.5));
    }
  }

  fleet_result Run() {
    const double end_s = scenario_.duration_s + 8;
    int steps = 0;
    for (now_s_ = 0; now_s_ < end_s; now_s_ += kStepS, ++steps) {
      DeliverStore();
      SendRequests();
      HandleResponses();
      EndRuns();
      if (steps % static_cast<int>(kReportS / kStepS) == 0)
        ExchangeReports();
      if (steps % static_cast<int>(kAdvanceS / kStepS) == 0)
        Advance();
      if (result_.decision && now_s_ > scenario_.duration_s)
        break;
    }
    if (bad_responses_ >= 50)
      result_.late_s = std::max(0.0, last_new_s_ - fiftieth_bad_s_);
    if (scenario_.IsBad() && turned_bad_s_)
      result_.found_s = std::max(0.0, last_new_s_ - *turned_bad_s_);
    return result_;
  }

 private:
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool Chance(double probability) { return Uniform(0, 1) < probability; }

  rollout_time Time() const {
    const auto us = static_cast<std::int64_t>(now_s_ * 1e6);
    return {timestamp(microseconds(us + 1000000000)),
            calendar_time(milliseconds(us / 1000))};
  }

  bool IsBurst() const {
    return scenario_.conditions == condition::burst && now_s_ > 4 && now_s_ < 6;
  }

  void SendRequests() {
    const double rate = scenario_.rate * (IsBurst() ? 5 : 1);
    const int count = std::poisson_distribution<int>(rate * kStepS)(random_);
    for (int i = 0; i < count; ++i)
      SendRequest();
  }

  void SendRequest() {
    run sent;
    sent.group = static_cast<int>(random_() % groups_.size());
    group_state& group = groups_[sent.group];
    sent.is_own =
        Chance(static_cast<double>(groups_.size()) / scenario_.instances);
    const version_rule& rule = group.tracker.ViewOf(kService).rule;
    const version_choice choice = ChooseVersion(rule, Uniform(0, 1));
    sent.side = Prefers(rule, choice, "v2") && !Prefers(rule, choice, "v1")
                    ? version_side::new_version
                    : version_side::old_version;
    const bool is_new = sent.side == version_side::new_version;
    const double route = Uniform(0, 1);
    sent.stratum.route = route < 0.5 ? 1 : route < 0.8 ? 2 : kNoisyRoute;
    sent.stratum.domain = 1 + random_() % kDomains;
    const bool slow_domain = scenario_.conditions == condition::slow_domain;
    if (slow_domain && is_new && Chance(0.6))
      sent.stratum.domain = kDomains;
    Respond(sent);
    if (now_s_ < scenario_.duration_s)
      ++result_.requests;
    if (is_new) {
      CountExposure();
      last_new_s_ = now_s_;
    } else {
      ++group.open_old;
      group.open_own_old += sent.is_own;
    }
    runs_.push_back(sent);
  }

  void CountExposure() {
    if (now_s_ >= scenario_.duration_s)
      return;
    ++result_.exposed;
    if (!shift_written_)
      ++result_.exposed_before_shift;
  }

  bool IsBadNow(const run& sent) {
    const auto is_bad = [&] {
      switch (scenario_.when) {
        case bad_when::always:
          return true;
        case bad_when::after_5_s:
          return now_s_ >= 5;
        case bad_when::above_load:
          return load_ > 0.3 * scenario_.rate;
        case bad_when::on_one_route:
          return sent.stratum.route == 2;
      }
      return false;
    }();
    if (is_bad && !turned_bad_s_)
      turned_bad_s_ = now_s_;
    return is_bad;
  }

  void Respond(run& sent) {
    const bool is_new = sent.side == version_side::new_version;
    // Load of the new version: its requests per second, smoothed over 0.5 s.
    if (is_new)
      load_ += 2;
    const condition conditions = scenario_.conditions;
    double failing = 0.005;
    double latency_s = std::lognormal_distribution<double>(
        std::log(0.03 * sent.stratum.route), 0.5)(random_);
    if (conditions == condition::noisy_route &&
        sent.stratum.route == kNoisyRoute)
      failing = 0.14;
    if (IsBurst()) {
      failing = 0.05;
      latency_s *= 3;
    }
    if (conditions == condition::slow_domain && sent.stratum.domain == kDomains)
      latency_s *= 4;
    if (conditions == condition::cut_domain && sent.stratum.domain == 1 &&
        now_s_ > 4 && now_s_ < 6)
      failing = 0.5;
    const bool is_cold =
        conditions == condition::cold_start && is_new && now_s_ < 3;
    if (is_cold)
      latency_s *= 5;
    if (is_new && scenario_.IsBad() && IsBadNow(sent)) {
      latency_s *= scenario_.slowdown;
      const bool fails = Chance(scenario_.failing);
      sent.is_bad = fails || scenario_.slowdown > 1;
      if (fails)
        failing = 1;
    }
    sent.sample.is_bad = Chance(failing);
    if (!sent.sample.is_bad && !is_cold)
      sent.sample.latency =
          microseconds(static_cast<std::int64_t>(latency_s * 1e6));
    sent.response_s = now_s_ + latency_s;
    sent.end_s = sent.response_s + (Chance(0.1) ? kStreamS : 0);
  }

  void HandleResponses() {
    load_ *= 1 - 2 * kStepS;
    for (run& item : runs_) {
      if (item.response_s <= 0 || item.response_s > now_s_)
        continue;
      item.response_s = 0;
      if (item.is_bad && ++bad_responses_ == 50)
        fiftieth_bad_s_ = now_s_;
      group_state& group = groups_[item.group];
      if (item.is_own) {
        group.tracker.OnResponse(
            kService, item.stratum,
            item.side == version_side::new_version ? "v2" : "v1", item.sample);
      } else if (group.tracker.ViewOf(kService).active) {
        group.others.Add(item.stratum, item.side, item.sample);
      }
    }
  }

  // Ends runs and moves those on old targets during the shift.
  void EndRuns() {
    std::erase_if(runs_, [this](run& item) {
      group_state& group = groups_[item.group];
      const bool is_old = item.side == version_side::old_version;
      if (is_old && !item.is_moving && item.response_s <= 0 &&
          group.tracker.ViewOf(kService).move == runs_to_move::on_old) {
        item.is_moving = true;
        const double moved_s = now_s_ + Uniform(0, 2 * kMoveS);
        if (moved_s < item.end_s) {
          item.end_s = moved_s;
          CountExposure();
        }
      }
      if (item.end_s > now_s_ || item.response_s > 0)
        return false;
      if (is_old) {
        --group.open_old;
        group.open_own_old -= item.is_own;
      }
      return true;
    });
  }

  void ExchangeReports() {
    for (group_state& group : groups_) {
      group_state::snapshot snapshot{now_s_, group.others, 0, false};
      if (const version_samples* own = group.tracker.OwnSamples(kService))
        snapshot.sums.Merge(*own);
      const rollout_view& view = group.tracker.ViewOf(kService);
      // Before it has read the roll-out, an instance reports nothing.
      snapshot.unfinished =
          view.active && view.rule.phase == rollout_phase::only_new
              ? group.open_old
              : 1 + group.open_old;
      snapshot.found_bad = view.bad.has_value();
      group.snapshots.push_back(std::move(snapshot));
    }
    for (std::size_t i = 0; i < groups_.size(); ++i)
      Report(i);
  }

  void Report(std::size_t receiver) {
    group_state& group = groups_[receiver];
    const rollout_view& view = group.tracker.ViewOf(kService);
    if (!view.active)
      return;
    fleet_report report;
    report.samples = group.others;
    report.unfinished = group.open_old - group.open_own_old;
    report.as_of = Time().now;
    for (std::size_t i = 0; i < groups_.size(); ++i) {
      if (i == receiver)
        continue;
      const std::deque<group_state::snapshot>& sent = groups_[i].snapshots;
      const auto age = static_cast<std::size_t>(Uniform(0, 1.99) / kReportS);
      if (age >= sent.size()) {
        report.unfinished.reset();
        continue;
      }
      const group_state::snapshot& snapshot = sent[sent.size() - 1 - age];
      report.samples.Merge(snapshot.sums);
      if (report.unfinished)
        report.unfinished = *report.unfinished + snapshot.unfinished;
      report.as_of = std::min(
          report.as_of, Time().now - microseconds(static_cast<std::int64_t>(
                                         (now_s_ - snapshot.at_s) * 1e6)));
      report.found_bad = report.found_bad || snapshot.found_bad;
    }
    group.tracker.SetFleetReport(*view.active, std::move(report));
  }

  void Advance() {
    for (std::size_t i = 0; i < groups_.size(); ++i) {
      group_state& group = groups_[i];
      group.tracker.SetOpenRuns(
          kService, {{"v1", static_cast<std::uint64_t>(group.open_own_old)}});
      group.tracker.Advance(Time());
      if (i >= kDeciders)
        continue;
      for (const status_write& write : group.tracker.TakeWrites(Time()))
        pending_writes_.push_back({now_s_ + Uniform(0.02, 0.2), write});
    }
  }

  void DeliverStore() {
    for (std::size_t i = 0; i < groups_.size(); ++i) {
      if (request_seen_s_[i] > 0 && request_seen_s_[i] <= now_s_) {
        request_seen_s_[i] = 0;
        groups_[i].tracker.OnRequest(
            kService, rollout_request{kService, "v2", scenario_.duration_s},
            kRequestRevision, Time());
        groups_[i].tracker.Advance(Time());
      }
    }
    for (const auto& [at_s, write] : pending_writes_) {
      if (at_s <= now_s_ && write.status_revision == status_revision_ &&
          write.request_revision == kRequestRevision)
        Execute(write);
    }
    std::erase_if(pending_writes_,
                  [this](const auto& item) { return item.first <= now_s_; });
    std::erase_if(deliveries_, [this](const delivery& item) {
      if (item.at_s > now_s_)
        return false;
      groups_[item.group].tracker.OnStatus(kService, item.status,
                                           item.revision);
      return true;
    });
  }

  void Execute(const status_write& write) {
    status_revision_ = next_revision_++;
    for (std::size_t i = 0; i < groups_.size(); ++i) {
      deliveries_.push_back({now_s_ + Uniform(0.02, i < kDeciders ? 0.3 : 1.0),
                             static_cast<int>(i), write.status,
                             status_revision_});
    }
    shift_written_ =
        shift_written_ || write.status.stage == rollout_stage::shift;
    if (write.status.state == rollout_state::running)
      return;
    ++result_.decisions;
    result_.decision = write.status.state;
    result_.decided_s = now_s_;
    if (write.status.state == rollout_state::succeeded) {
      for (const group_state& group : groups_)
        result_.interrupted += group.open_old;
    }
  }

  struct delivery {
    double at_s;
    int group;
    rollout_status status;
    std::int64_t revision;
  };

  const fleet_case scenario_;
  std::mt19937_64 random_;
  double now_s_ = 0;
  std::vector<group_state> groups_;
  std::vector<double> request_seen_s_;
  std::vector<run> runs_;
  std::vector<std::pair<double, status_write>> pending_writes_;
  std::vector<delivery> deliveries_;
  std::int64_t status_revision_ = 0;
  std::int64_t next_revision_ = 2;
  double load_ = 0;
  bool shift_written_ = false;
  int bad_responses_ = 0;
  double fiftieth_bad_s_ = 0;
  double last_new_s_ = 0;
  std::optional<double> turned_bad_s_;
  fleet_result result_;
};

}  // namespace

fleet_result SimulateFleet(const fleet_case& scenario, std::uint64_t seed) {
  return fleet(scenario, seed).Run();
}

}  // namespace wist
