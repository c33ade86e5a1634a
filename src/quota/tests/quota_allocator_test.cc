#include <catch2/catch.hpp>
#include <map>

#include "quota/quota_module.h"

namespace wist {
namespace {

constexpr timestamp kStart{seconds(100)};
const target_id kTarget("engine-1");

target_tally Tally(std::int32_t running, double memory, double demand) {
  target_tally tally;
  tally.target = kTarget;
  tally.running = running;
  tally.forecast.mean[0] = memory;
  tally.demand = demand;
  return tally;
}

std::vector<instance_id> Members(int count) {
  std::vector<instance_id> members;
  for (int i = 0; i < count; ++i)
    members.emplace_back("instance-" + std::to_string(i));
  return members;
}

}  // namespace

TEST_CASE("a grant contains the load of all other members") {
  const auto allocator = MakeQuotaAllocator();
  allocator->Exchange(instance_id("a"), {Tally(3, 900, 1)}, kStart);
  const auto grants =
      allocator->Exchange(instance_id("b"), {Tally(1, 200, 1)}, kStart);
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].others_running == 3);
  CHECK(grants[0].others_forecast.mean[0] == 900);
}

TEST_CASE("shares increase with demand and sum to one") {
  const auto allocator = MakeQuotaAllocator();
  allocator->Exchange(instance_id("a"), {Tally(0, 0, 30)}, kStart);
  allocator->Exchange(instance_id("b"), {Tally(0, 0, 10)}, kStart);
  const double a =
      allocator->Exchange(instance_id("a"), {Tally(0, 0, 30)}, kStart)[0].share;
  const double b =
      allocator->Exchange(instance_id("b"), {Tally(0, 0, 10)}, kStart)[0].share;
  CHECK(a > b);
  CHECK(a + b == Approx(1));
}

TEST_CASE("a tally that was not renewed expires") {
  const auto allocator = MakeQuotaAllocator();
  allocator->Exchange(instance_id("a"), {Tally(3, 900, 1)}, kStart);
  const auto grants = allocator->Exchange(instance_id("b"), {Tally(1, 200, 1)},
                                          kStart + kQuotaValidity);
  CHECK(grants[0].others_running == 0);
  CHECK(grants[0].share == Approx(1));
}

TEST_CASE("the loss of a member moves only the blocks that it owned") {
  const auto before = Members(5);
  auto after = before;
  after.erase(after.begin() + 2);
  std::map<instance_id, int> owned;
  for (int block = 0; block < 64; ++block) {
    const instance_id owner = BlockOwner(domain_id("d"), block, before);
    ++owned[owner];
    if (owner != before[2])
      CHECK(BlockOwner(domain_id("d"), block, after) == owner);
  }
  CHECK(owned.size() == 5);
  CHECK(BlockOwner(domain_id("d"), 0, {}).empty());
}

}  // namespace wist
