#include <catch2/catch.hpp>
#include <random>

#include "rollout/rollout_judge.h"

using namespace wist;

namespace {

constexpr milliseconds kPeriod{250};

// Sums of a fleet whose new version receives one request in eleven.
struct judged_fleet {
  void Add(const sample_stratum& stratum,
           double old_failing,
           double new_failing,
           int count) {
    for (int i = 0; i < count; ++i) {
      const bool is_new = random() % 11 == 0;
      const bool is_bad = std::bernoulli_distribution(
          is_new ? new_failing : old_failing)(random);
      new_bad += is_new && is_bad;
      sums.Add(
          stratum,
          is_new ? version_side::new_version : version_side::old_version,
          {is_bad, is_bad ? std::nullopt : std::optional<microseconds>(10000)});
    }
  }

  void Judge() { Judge(sums); }
  void Judge(const version_samples& reported) {
    now += kPeriod;
    judge.Update(reported, now);
  }

  bool IsBad() const {
    return std::holds_alternative<bad_verdict>(judge.verdict());
  }
  bool IsGood() const {
    return std::holds_alternative<good_verdict>(judge.verdict());
  }

  std::mt19937_64 random{7};
  version_samples sums;
  rollout_judge judge;
  timestamp now{};
  int new_bad = 0;
};

}  // namespace

TEST_CASE("a version needs some responses to be good") {
  judged_fleet fleet;
  fleet.Judge();
  CHECK_FALSE(fleet.IsGood());
  fleet.Add({1, 1}, 0, 0, 300);
  fleet.Judge();
  CHECK(fleet.IsGood());
}

// Guards against a bad version that is not found when the rollback bound is
// reached, on each of the instances' worst cases: 66 instances that each saw
// less than one bad response, one bad route among others, and a noisy one.
TEST_CASE("a failing version is found before its 50th bad response") {
  const double failing = GENERATE(0.1, 0.5);
  const bool on_one_route = GENERATE(false, true);
  judged_fleet fleet;
  for (int period = 0; period < 2000 && !fleet.IsBad(); ++period) {
    for (std::uint32_t domain = 1; domain <= 3; ++domain) {
      fleet.Add({1, domain}, 0.005, failing, 15);
      fleet.Add({2, domain}, 0.005, on_one_route ? 0.005 : failing, 15);
      fleet.Add({3, domain}, 0.14, on_one_route ? 0.14 : failing + 0.14, 5);
    }
    fleet.Judge();
  }
  REQUIRE(fleet.IsBad());
  CHECK(std::get<bad_verdict>(fleet.judge.verdict()).reason ==
        bad_reason::failures);
  CHECK(fleet.new_bad < 50);
}

// Guards against looks that add up to a wrong verdict, and against a route
// whose failures count against a version that did not cause them.
TEST_CASE("a version like the old one is never found bad") {
  judged_fleet fleet;
  for (int period = 0; period < 3000; ++period) {
    fleet.Add({1, 1}, 0.14, 0.14, 30);
    fleet.Add({2, 2}, 0.01, 0.01, 30);
    fleet.Judge();
    REQUIRE_FALSE(fleet.IsBad());
  }
}

// Guards against a verdict about the version where one domain is at fault.
TEST_CASE("failures in one of three domains do not condemn a version") {
  judged_fleet fleet;
  for (int period = 0; period < 40; ++period) {
    fleet.Add({1, 1}, 0, 0.8, 20);
    fleet.Add({1, 2}, 0, 0, 20);
    fleet.Add({1, 3}, 0, 0, 20);
    fleet.Judge();
  }
  CHECK(fleet.new_bad > 20);
  CHECK_FALSE(fleet.IsBad());
}

// Guards against responses that count twice because a report was missing.
TEST_CASE("sums that shrink for a moment are not counted again") {
  judged_fleet fleet;
  fleet.Add({1, 1}, 0, 0, 500);
  fleet.Judge();
  const version_samples before = fleet.sums;
  fleet.Add({1, 1}, 0, 0.1, 200);
  fleet.Judge();
  REQUIRE_FALSE(fleet.IsBad());
  for (int period = 0; period < 100; ++period)
    fleet.Judge(period % 2 == 0 ? before : fleet.sums);
  CHECK_FALSE(fleet.IsBad());
}

TEST_CASE("samples are bounded and can be merged") {
  version_samples samples;
  for (std::uint32_t route = 1; route <= 100; ++route) {
    samples.Add({route, 1}, version_side::new_version,
                {false, milliseconds(route)});
  }
  CHECK(samples.strata().size() == version_samples::kMaxStrata);
  CHECK(samples.Total().new_version.responses == 100);
  version_samples sum = samples;
  sum.Merge(samples);
  CHECK(sum.strata().size() == version_samples::kMaxStrata);
  CHECK(sum.Total().new_version.timed() == 200);
  CHECK(sum.Since(samples) == samples);
  CHECK(LatencyBucket(microseconds(0)) == 0);
  CHECK(LatencyBucket(std::chrono::hours(1)) == response_counts::kBuckets - 1);
  CHECK(LatencyBucket(milliseconds(30)) + 2 == LatencyBucket(milliseconds(60)));
}
