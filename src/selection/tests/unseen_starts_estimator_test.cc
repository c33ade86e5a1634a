#include <catch2/catch.hpp>

#include <random>

#include "selection/prefill_speeds.h"
#include "selection/unseen_starts_estimator.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

}  // namespace

TEST_CASE("an instance alone expects no unseen starts") {
  unseen_starts_estimator starts;
  for (int ms = 0; ms < 2000; ms += 10)
    starts.OnOwnStart(At(ms));
  CHECK(starts.Estimate(1, milliseconds(500), At(2000)) == 0);
}

TEST_CASE("unseen starts grow with instances, rate and age") {
  unseen_starts_estimator starts;
  for (int ms = 0; ms < 10'000; ms += 100)
    starts.OnOwnStart(At(ms));
  CHECK(starts.Estimate(11, milliseconds(100), At(10'000)) ==
        Approx(10).epsilon(0.1));
  CHECK(starts.Estimate(11, milliseconds(500), At(10'000)) ==
        Approx(50).epsilon(0.1));
  // The rate is forgotten once requests stop.
  CHECK(starts.Estimate(11, milliseconds(100), At(60'000)) < 1);
}

// Guards against herding right after the start of an instance that has seen
// the requests of others only.
TEST_CASE("reported growth counts as well as own starts") {
  unseen_starts_estimator starts;
  for (int ms = 0; ms < 10'000; ms += 100)
    starts.OnReportedStarts(5, At(ms));
  CHECK(starts.Estimate(11, milliseconds(100), At(10'000)) ==
        Approx(5).epsilon(0.1));
}

TEST_CASE("loads age while reports stop") {
  report_age_estimator age;
  CHECK(age.Age(64, At(0)) <= milliseconds(10));
  for (int ms = 0; ms < 2000; ms += 20) {
    age.OnReport(At(ms));
    age.OnReport(At(ms));  // The same datagram holds several loads.
  }
  const microseconds usual = age.Age(64, At(1990));
  CHECK(usual >= milliseconds(40));
  CHECK(usual <= milliseconds(100));
  CHECK(age.Age(64, At(2980)) >= milliseconds(1000));
  CHECK(age.Age(64, At(600'000)) <= milliseconds(5000));
}

// Guards against spreading the requests of a quiet fleet: reports are rare
// there because nothing changes, not because they are slow.
TEST_CASE("rare changes do not make the loads old") {
  report_age_estimator age;
  std::minstd_rand random(1);
  std::exponential_distribution<double> gap(1.0 / 200);
  std::int64_t now_ms = 0;
  for (int i = 0; i < 300; ++i) {
    age.OnReport(At(now_ms));
    now_ms += 8 + static_cast<std::int64_t>(gap(random));
  }
  CHECK(age.Age(8, At(now_ms)) <= milliseconds(150));
}

TEST_CASE("an engine without samples counts as average") {
  prefill_speeds speeds;
  CHECK(speeds.RelativeTime(target_id("a")) == 1);
  speeds.OnBacklog(target_id("b"), 100, At(0));
  speeds.OnBacklog(target_id("b"), 0, At(10));
  CHECK(speeds.RelativeTime(target_id("a")) == 1);
}

// Guards against equal load on engines of unequal speed.
TEST_CASE("an engine that processes prompts more slowly takes longer") {
  prefill_speeds speeds;
  for (int ms = 0; ms < 10'000; ms += 400) {
    for (const char* id : {"slow", "fast", "other"})
      speeds.OnBacklog(target_id(id), 2000, At(ms));
    speeds.OnBacklog(target_id("fast"), 0, At(ms + 100));
    speeds.OnBacklog(target_id("other"), 0, At(ms + 200));
    speeds.OnBacklog(target_id("slow"), 0, At(ms + 300));
  }
  CHECK(speeds.RelativeTime(target_id("slow")) > 1.3);
  CHECK(speeds.RelativeTime(target_id("fast")) < 0.7);
  speeds.Prune([](const target_id& id) { return id.text() == "slow"; });
  CHECK(speeds.RelativeTime(target_id("slow")) == 1);
}

// Guards against taking the time without reports as time without progress.
TEST_CASE("a backlog reported before a silence is no sign of a slow engine") {
  prefill_speeds speeds;
  for (int ms = 0; ms < 4000; ms += 400) {
    for (const char* id : {"a", "b"}) {
      speeds.OnBacklog(target_id(id), 2000, At(ms));
      speeds.OnBacklog(target_id(id), 0, At(ms + 200));
    }
  }
  speeds.OnBacklog(target_id("a"), 2000, At(4000));
  speeds.OnBacklog(target_id("a"), 0, At(60'000));
  CHECK(speeds.RelativeTime(target_id("a")) == Approx(1).margin(0.05));
}
