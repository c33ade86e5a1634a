#ifndef SELECTION_TESTS_MOCKS_BRITTLE_FLEET_H_
#define SELECTION_TESTS_MOCKS_BRITTLE_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "selection/target_selector.h"

namespace wist {

struct brittle_fleet_settings {
  int instances = 8;
  int targets = 9;
  int slots = 4;
  // Mean time of a run.
  milliseconds run_time{60};
  // Requests of callers as a multiple of what the targets can run.
  double demand = 1.5;
  // Requests that wait at a target while it is not restricted, and while it is.
  int waiting = 8;
  int restricted_waiting = 1;
  std::int32_t tolerated_refusals = 3;
  // Whether the instances apply what the targets state.
  bool applies_statements = true;
  // Share of the responses that state it.
  double stating_share = 1;
  // Age of the loads that an instance receives from the others, and the
  // interval between them.
  milliseconds report_age{20};
  milliseconds report_interval{10};
  // Whether the instances receive no loads while the targets are restricted.
  bool loses_reports = false;
  // The targets state that they are brittle from `stated_at` on, let fewer
  // requests wait from `restricted_at`, and are sound again from `sound_at`.
  milliseconds stated_at{1000};
  milliseconds restricted_at{4000};
  milliseconds sound_at{12'000};
  milliseconds end{13'000};
  std::uint32_t seed = 1;
};

struct brittle_fleet_result {
  int falls = 0;
  int most_refusals_in_a_second = 0;
  // While the targets are restricted:
  int requests = 0;
  int served = 0;
  int refused_by_targets = 0;
  double longest_refusal_ms = 0;  // From the request to its refusal.
  // Share of what the targets could run without a fall.
  double used_capacity = 0;
};

// Instances with real target selectors in front of targets that fail if they
// have to refuse more requests in a second than they tolerate, on a virtual
// clock.
class brittle_fleet {
 public:
  explicit brittle_fleet(const brittle_fleet_settings& settings);
  brittle_fleet_result Run();

 private:
  struct request {
    int instance = 0;
    timestamp arrived_at;
    std::set<target_id> excluded;
    int sends = 0;
    int retries = 0;  // Of the caller.
  };

  struct run {
    request of;
    run_number number = 0;
  };

  struct target {
    target_id id;
    int starts = 1;
    bool is_down = false;
    std::vector<run> running;
    std::deque<run> waiting;
    std::deque<timestamp> refusals;
  };

  // Loads of all instances at one time.
  struct load_sample {
    timestamp taken_at;
    std::vector<std::vector<target_load>> own;
    std::map<target_id, target_load> total;
  };

  void At(timestamp time, std::function<void()> event);
  double Random() { return std::uniform_real_distribution<>(0, 1)(random_); }
  microseconds RandomTime(double mean_us);
  bool IsStated() const;
  bool IsRestricted() const;

  void RegisterTarget(int index);
  void ScheduleArrival();
  void Choose(request asked);
  void Refuse(const request& asked);
  void Send(request asked, const target_id& id);
  void Arrive(int index, const run& arrived);
  void Begin(int index, const run& begun);
  void Complete(int index, run_number number, int instance);
  void RefuseAtTarget(int index, const run& refused);
  void Fall(int index);
  void ApplyStatement(int instance, int index);
  void ExchangeLoads();
  void Deliver(const load_sample& sample, int instance);
  selection_request SelectionRequest(const request& asked) const;

  const brittle_fleet_settings settings_;
  brittle_fleet_result result_;
  timestamp now_{};
  std::uint64_t next_event_ = 0;
  std::map<std::pair<timestamp, std::uint64_t>, std::function<void()>> events_;
  std::minstd_rand random_;
  target_directory directory_;
  std::vector<std::unique_ptr<target_selector>> selectors_;
  std::vector<target> targets_;
  std::map<target_id, int> index_of_;
  std::deque<load_sample> samples_;
  std::vector<std::map<target_id, target_load>> delivered_;
};

}  // namespace wist

#endif  // SELECTION_TESTS_MOCKS_BRITTLE_FLEET_H_
