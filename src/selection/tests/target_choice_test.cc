#include <catch2/catch.hpp>

#include "selection/target_choice.h"

using namespace wist;

namespace {

constexpr int kChoices = 10'000;

// Returns the fraction of choices that each candidate receives.
std::vector<double> Shares(const std::vector<choice_candidate>& candidates,
                           const unseen_starts& unseen) {
  std::minstd_rand random(1);
  std::vector<int> counts(candidates.size());
  for (int i = 0; i < kChoices; ++i)
    ++counts[ChooseByExpectedStarts(candidates, unseen, random)];
  std::vector<double> shares;
  for (const int count : counts)
    shares.push_back(static_cast<double>(count) / kChoices);
  return shares;
}

std::vector<choice_candidate> Candidates(const std::vector<double>& costs) {
  std::vector<choice_candidate> candidates;
  for (const double cost : costs)
    candidates.push_back({nullptr, cost, 0.1});
  return candidates;
}

}  // namespace

TEST_CASE("with recent loads the cheapest target is chosen") {
  CHECK(Shares(Candidates({0.5, 0.3, 0.4}), {0.1, 0}) ==
        std::vector<double>{0, 1, 0});
}

TEST_CASE("equal targets are chosen equally often") {
  for (const double share : Shares(Candidates({0.2, 0.2, 0.2, 0.2}), {0, 0}))
    CHECK(share == Approx(0.25).margin(0.02));
}

// Guards against herding onto the least loaded engine: it takes one of ten
// unseen requests more than the others, not all of them.
TEST_CASE("old loads spread requests up to the cost that all will reach") {
  const auto shares = Shares(Candidates({0.3, 0.4, 0.4, 0.4, 9}), {9, 0});
  CHECK(shares[0] == Approx(3.0 / 9).margin(0.02));
  CHECK(shares[1] == Approx(2.0 / 9).margin(0.02));
  CHECK(shares[4] == 0);
}

// Guards against overload of an engine that comes back empty: it receives all
// requests only until it has caught up.
TEST_CASE("an empty engine receives what it lacks") {
  const auto candidates = Candidates({0, 0.8, 0.8, 0.8});
  CHECK(Shares(candidates, {4, 0})[0] == Approx(1));
  CHECK(Shares(candidates, {24, 0})[0] == Approx(12.0 / 24).margin(0.02));
}

TEST_CASE("a faster target receives more") {
  auto candidates = Candidates({0.5, 0.5});
  candidates[0].cost_per_run = 0.05;
  CHECK(Shares(candidates, {30, 0})[0] == Approx(2.0 / 3).margin(0.02));
}

// Guards against requests of all domains on the one engine that looks cheapest,
// which its own domain is about to fill.
TEST_CASE("another domain's targets count with what its instances send") {
  auto candidates = Candidates({0.5, 0.5, 0.4, 0.6});
  candidates[2].is_near = candidates[3].is_near = false;
  CHECK(Shares(candidates, {2, 0})[2] > 0.4);
  const auto shares = Shares(candidates, {2, 6});
  CHECK(shares[2] + shares[3] == 0);
  // An overloaded domain sends to others what exceeds their level.
  candidates[0].cost = candidates[1].cost = 2;
  CHECK(Shares(candidates, {2, 6})[2] == Approx(0.5).margin(0.02));
}

TEST_CASE("a target whose cost does not rise is no error") {
  auto candidates = Candidates({0.5, 0.2});
  candidates[1].cost_per_run = 0;
  CHECK(Shares(candidates, {5, 0})[1] == Approx(1));
}
