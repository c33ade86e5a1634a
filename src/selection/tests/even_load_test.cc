#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <numeric>

#include "selection/target_selector.h"

using namespace wist;

namespace {

constexpr int kEngines = 10;
const service_id kService{"engines"};

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

// Instances that choose among the same engines. Loads reach the other
// instances only by Report().
class instances {
 public:
  explicit instances(int count) {
    routing_configuration configuration;
    configuration.version = 1;
    routed_service service;
    service.id = kService;
    service.engine = engine_spec{24, 27'000, true, true, 4};
    configuration.services = {service};
    const auto table = std::make_shared<const route_table>(configuration);
    for (int engine = 0; engine < kEngines; ++engine) {
      target_entry entry;
      entry.id = Id(engine);
      entry.service = kService;
      entry.domain = domain_id("here");
      entry.sequence = 1;
      directory_.Upsert(entry, At(0));
    }
    for (int i = 0; i < count; ++i) {
      selectors_.push_back(std::make_unique<target_selector>(
          selection_settings{domain_id("here")}, directory_, i + 1));
      selectors_.back()->ApplyConfiguration(table);
      selectors_.back()->SetInstanceCount(static_cast<std::size_t>(count));
    }
  }

  static target_id Id(int engine) {
    return target_id("e" + std::to_string(engine));
  }

  // All instances receive these numbers of runs of others.
  void Report(const std::vector<int>& runs, timestamp now) {
    for (const auto& selector : selectors_) {
      for (int engine = 0; engine < kEngines; ++engine)
        selector->SetOthersLoad(
            {Id(engine), runs[engine], std::int64_t{2500} * runs[engine], 0},
            now);
    }
  }

  void ReportBacklog(int engine, std::int64_t tokens, timestamp now) {
    for (const auto& selector : selectors_)
      selector->SetOthersLoad({Id(engine), 1, 2500, tokens}, now);
  }

  // Each instance starts a run; adds them to `started`.
  void StartOneEach(std::vector<int>& started, timestamp now) {
    selection_request request;
    request.service = kService;
    request.size = generation_size{2500, 10};
    for (const auto& selector : selectors_) {
      const selection chosen = selector->Choose(request, now);
      const auto& id = std::get<target_id>(chosen);
      selector->EndRun(selector->BeginRun(id, request, now), run_end::completed,
                       now);
      ++started[std::stoul(id.text().substr(1))];
    }
  }

 private:
  target_directory directory_;
  std::vector<std::unique_ptr<target_selector>> selectors_;
};

// Returns the busiest engine's part relative to the mean.
double BusiestRatio(const std::vector<int>& started) {
  return *std::max_element(started.begin(), started.end()) *
         static_cast<double>(kEngines) /
         std::accumulate(started.begin(), started.end(), 0.0);
}

// Reports the loads every `interval_ms`, while each instance starts five runs
// a second. Returns the runs started after the last report, over `rest_ms`.
std::vector<int> StartsAfterReports(int count,
                                    const std::vector<int>& last_runs,
                                    int interval_ms,
                                    int rest_ms) {
  instances all(count);
  std::vector<int> ignored(kEngines);
  for (int ms = 0; ms < 2000; ms += 200) {
    for (int report_ms = ms; report_ms < ms + 200; report_ms += interval_ms)
      all.Report(std::vector<int>(kEngines, 5), At(report_ms));
    all.StartOneEach(ignored, At(ms + 199));
  }
  all.Report(last_runs, At(2000));
  std::vector<int> started(kEngines);
  for (int ms = 2000 + interval_ms; ms <= 2000 + rest_ms; ms += 200)
    all.StartOneEach(started, At(ms));
  return started;
}

}  // namespace

// Guards against herding: engines that differ by one run at most get the
// requests of all instances in turn.
TEST_CASE("instances do not crowd onto the least loaded engine") {
  const auto started =
      StartsAfterReports(64, {4, 5, 5, 5, 5, 5, 5, 5, 5, 5}, 100, 100);
  CHECK(BusiestRatio(started) <= 2.5);
}

TEST_CASE("an engine that comes back empty is filled but not flooded") {
  const auto started =
      StartsAfterReports(64, {0, 5, 5, 5, 5, 5, 5, 5, 5, 5}, 50, 50);
  CHECK(started[0] >= 64 / kEngines);
  CHECK(started[0] <= 40);
}

// With a few instances and recent reports an empty engine is the best choice.
TEST_CASE("a small fleet fills an empty engine first") {
  const auto started =
      StartsAfterReports(4, {0, 5, 5, 5, 5, 5, 5, 5, 5, 5}, 10, 10);
  CHECK(started[0] == 4);
}

TEST_CASE("the load stays even while reports stop") {
  const auto started =
      StartsAfterReports(64, {3, 4, 5, 5, 5, 5, 5, 5, 6, 7}, 50, 2000);
  CHECK(BusiestRatio(started) <= 1.6);
}

// Equal loads would mean a later first event on the slow engines.
TEST_CASE("slower engines receive fewer runs at the same load") {
  instances all(8);
  std::vector<int> started(kEngines);
  for (int ms = 0; ms < 15'000; ms += 500) {
    for (int engine = 0; engine < kEngines; ++engine)
      all.ReportBacklog(engine, 2500, At(ms));
    for (int engine = 0; engine < kEngines; ++engine)
      all.ReportBacklog(engine, 0, At(ms + (engine < 5 ? 150 : 350)));
    if (ms >= 5000)
      all.StartOneEach(started, At(ms + 400));
  }
  const int fast = std::accumulate(started.begin(), started.begin() + 5, 0);
  const int slow = std::accumulate(started.begin() + 5, started.end(), 0);
  CHECK(fast >= 2 * slow);
}
