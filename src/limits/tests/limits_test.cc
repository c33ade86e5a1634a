#include <catch2/catch.hpp>
#include <random>

#include "limits/limits_module.h"
#include "quota/quota_module.h"

namespace wist {
namespace {

constexpr timestamp kStart{seconds(100)};

}  // namespace

TEST_CASE("sends stay under 1.1 times the first tries in a storm") {
  const auto budget = MakeRetryBudget();
  std::mt19937_64 random(3);
  int sends = 0;
  constexpr int kFirstTries = 3000;
  for (int i = 0; i < kFirstTries; ++i) {
    budget->OnFirstTry();
    ++sends;
    // A third of the targets is dead; each failure asks for another try.
    while (random() % 3 == 0 && budget->TryRetry())
      ++sends;
  }
  CHECK(sends <= 1.1 * kFirstTries);
  CHECK(sends > 1.05 * kFirstTries);
}

TEST_CASE("a request is stopped after it crashed two targets") {
  const auto quarantine = MakeQuarantine();
  const timestamp deadline = kStart + kStrikeValidity;
  CHECK(quarantine->AddStrike({"d", target_id("a"), deadline}, kStart));
  CHECK_FALSE(quarantine->QuarantinedUntil("d", kStart));
  // The same crash told again does not count twice.
  CHECK_FALSE(quarantine->AddStrike({"d", target_id("a"), deadline}, kStart));
  CHECK_FALSE(quarantine->QuarantinedUntil("d", kStart));
  CHECK(quarantine->AddStrike({"d", target_id("b"), deadline}, kStart));
  CHECK(quarantine->QuarantinedUntil("d", kStart) == deadline);
  CHECK_FALSE(quarantine->QuarantinedUntil("other", kStart));
  CHECK_FALSE(quarantine->QuarantinedUntil("d", deadline));
}

TEST_CASE("strikes are passed on until they lapse") {
  const auto quarantine = MakeQuarantine();
  quarantine->AddStrike({"d", target_id("a"), kStart + seconds(5)}, kStart);
  CHECK(quarantine->Strikes(kStart, 8).size() == 1);
  CHECK(quarantine->Strikes(kStart + seconds(5), 8).empty());
  CHECK(quarantine->StruckTargets("d", kStart) ==
        std::vector<target_id>{target_id("a")});
}

// Several instances with uneven demand share one limit through the owner.
TEST_CASE("a workspace limit holds within a tenth over all instances") {
  constexpr int kInstances = 8;
  constexpr int kSeconds = 60;
  configuration_body body;
  body.workspaces = {{workspace_id("w"), 1000, 6000, 1}};
  std::vector<std::unique_ptr<i_workspace_limiter>> limiters;
  for (int i = 0; i < kInstances; ++i) {
    limiters.push_back(MakeWorkspaceLimiter());
    limiters.back()->SetInstanceCount(kInstances);
    limiters.back()->ApplyConfiguration(body, kStart);
  }
  const auto owner = MakeQuotaBook();
  std::mt19937_64 random(5);
  int granted = 0;
  for (int ms = 0; ms < kSeconds * 1000; ++ms) {
    const timestamp now = kStart + milliseconds(ms);
    // 200 requests a second, most of them at two instances.
    if (random() % 5 == 0) {
      const std::size_t at = random() % 10 < 8 ? random() % 2 : random() % 8;
      granted += limiters[at]->Take(workspace_id("w"), now) ? 0 : 1;
    }
    if (ms % 1000 != 0)
      continue;
    for (int i = 0; i < kInstances; ++i) {
      target_tally tally;
      tally.target = target_id("w");
      for (const auto& demand :
           limiters[static_cast<std::size_t>(i)]->Demands())
        tally.demand = demand.requests;
      const auto grants =
          owner->Exchange(instance_id(std::to_string(i)), {tally}, now);
      limiters[static_cast<std::size_t>(i)]->OnShare(
          {workspace_id("w"), grants[0].share, grants[0].deadline});
    }
  }
  const int limit = 100 * kSeconds;
  CHECK(granted <= limit * 1.1);
  CHECK(granted >= limit * 0.9);
}

}  // namespace wist
