#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "cluster/cluster_module.h"
#include "configuration/tests/mocks/sample_configuration.h"

namespace wist {
namespace {

constexpr timestamp kStart{seconds(1000)};
const domain_id kRennes("rennes");
const domain_id kBrest("brest");

configuration_document MakeDocument(std::int64_t version, domain_state brest) {
  configuration_document document = SampleDocument(version);
  document.body.domains[1].state = brest;
  return document;
}

std::unique_ptr<i_cluster_view> MakeView(const std::string& name,
                                         const domain_id& domain,
                                         std::uint64_t incarnation = 1) {
  member_record self;
  self.id = instance_id(name);
  self.domain = domain;
  self.address = name + ":1";
  self.incarnation = incarnation;
  auto view = MakeClusterView({}, self, incarnation + name.size());
  view->OnConfiguration(MakeDocument(1, domain_state::in));
  return view;
}

// Exchanges gossip between `caller` and `callee`; the response takes `delay`.
void Exchange(i_cluster_view& caller,
              i_cluster_view& callee,
              timestamp now,
              milliseconds delay = milliseconds(1)) {
  callee.OnGossipRequest(caller.BuildGossip(now), now);
  caller.OnGossipResponse(callee.BuildGossip(now), now, now + delay);
}

}  // namespace

TEST_CASE("instances learn of each other through a third one") {
  auto a = MakeView("a", kRennes);
  auto b = MakeView("b", kRennes);
  auto c = MakeView("c", kBrest);
  Exchange(*a, *b, kStart);
  Exchange(*c, *b, kStart);
  CHECK(c->LiveMembers(kStart).size() == 3);
  CHECK(c->LiveMembersInDomain(kRennes, kStart).size() == 2);
}

TEST_CASE("a member whose heartbeat does not advance is dead") {
  auto a = MakeView("a", kRennes);
  auto b = MakeView("b", kRennes);
  Exchange(*a, *b, kStart);
  CHECK(a->LiveMembers(kStart + milliseconds(3999)).size() == 2);
  CHECK(a->LiveMembers(kStart + milliseconds(4001)).size() == 1);
}

TEST_CASE("a newer process of an instance supersedes the older one") {
  auto a = MakeView("a", kRennes);
  auto old_b = MakeView("b", kRennes, 1);
  auto new_b = MakeView("b", kRennes, 2);
  for (int i = 0; i < 5; ++i)
    Exchange(*a, *old_b, kStart);
  Exchange(*a, *new_b, kStart + seconds(1));
  Exchange(*old_b, *a, kStart + seconds(2));
  CHECK(old_b->IsSuperseded());
  CHECK_FALSE(new_b->IsSuperseded());
  CHECK(a->LiveMembers(kStart + seconds(1)).size() == 2);
}

TEST_CASE("a leaving instance is not a live member") {
  auto a = MakeView("a", kRennes);
  auto b = MakeView("b", kRennes);
  b->SetLeaving();
  Exchange(*a, *b, kStart);
  CHECK(a->LiveMembers(kStart).size() == 1);
  CHECK(b->LiveMembersInDomain(kRennes, kStart).size() == 1);
}

TEST_CASE("work is sent to another domain only with a recent status") {
  auto a = MakeView("a", kRennes);
  auto c = MakeView("c", kBrest);
  CHECK_FALSE(a->MayDispatchInto(kBrest, kStart));
  Exchange(*a, *c, kStart);
  CHECK(a->MayDispatchInto(kBrest, kStart));
  CHECK_FALSE(a->MayDispatchInto(kBrest, kStart + milliseconds(2500)));
}

TEST_CASE("a delay on the link makes a status older") {
  auto a = MakeView("a", kRennes);
  auto c = MakeView("c", kBrest);
  Exchange(*a, *c, kStart, seconds(3));
  CHECK_FALSE(a->MayDispatchInto(kBrest, kStart + seconds(3)));
}

TEST_CASE(
    "the status of a domain that is out stops work from a stale instance") {
  auto a = MakeView("a", kRennes);
  auto c = MakeView("c", kBrest);
  Exchange(*a, *c, kStart);
  REQUIRE(a->MayDispatchInto(kBrest, kStart));
  c->OnConfiguration(MakeDocument(2, domain_state::out));
  Exchange(*a, *c, kStart + milliseconds(100));
  CHECK_FALSE(a->MayDispatchInto(kBrest, kStart + milliseconds(100)));
}

TEST_CASE("a status older than the configuration is ignored") {
  auto a = MakeView("a", kRennes);
  auto c = MakeView("c", kBrest);
  Exchange(*a, *c, kStart);
  a->OnConfiguration(MakeDocument(2, domain_state::in));
  CHECK_FALSE(a->MayDispatchInto(kBrest, kStart));
}

TEST_CASE("a recent store read replaces the status of a domain") {
  auto a = MakeView("a", kRennes);
  a->OnStoreRead(1, kStart);
  CHECK(a->MayDispatchInto(kBrest, kStart + seconds(2)));
  CHECK_FALSE(a->MayDispatchInto(kBrest, kStart + milliseconds(2500)));
  SECTION("and is forwarded with its age") {
    auto b = MakeView("b", kRennes);
    Exchange(*b, *a, kStart + seconds(2));
    CHECK(b->MayDispatchInto(kBrest, kStart + milliseconds(2400)));
    CHECK_FALSE(b->MayDispatchInto(kBrest, kStart + milliseconds(2500)));
  }
  SECTION("but not if it shows a newer version than the configuration") {
    a->OnStoreRead(2, kStart + seconds(2));
    CHECK_FALSE(a->MayDispatchInto(kBrest, kStart + seconds(2)));
  }
}

TEST_CASE("an isolated domain serves its own callers") {
  auto a = MakeView("a", kRennes);
  CHECK(a->MayDispatchInto(kRennes, kStart + seconds(3600)));
}

// Takes a failure domain out while one instance cannot reach the store. Guards
// against an instance that continues to send work to the domain because of an
// outdated status, in any order of gossip exchanges and store reads.
TEST_CASE(
    "three seconds after a domain is out, no live instance sends work to it") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<std::unique_ptr<i_cluster_view>> views;
    for (int i = 0; i < 6; ++i)
      views.push_back(
          MakeView("i" + std::to_string(i), i < 3 ? kRennes : kBrest));
    // Instance 0 never reaches the store; all others do.
    timestamp now = kStart;
    const auto out = MakeDocument(2, domain_state::out);
    for (int step = 0; step < 200; ++step) {
      now += milliseconds(50);
      const bool taken_out = now >= kStart + seconds(5);
      for (std::size_t i = 1; i < 6; ++i) {
        if (random() % 10 != 0)
          continue;
        views[i]->OnStoreRead(taken_out ? 2 : 1, now);
        if (taken_out)
          views[i]->OnConfiguration(out);
      }
      const std::size_t a = random() % 6;
      const std::size_t b = random() % 6;
      if (a != b)
        Exchange(*views[a], *views[b], now, milliseconds(random() % 30));
      if (now < kStart + seconds(8))
        continue;
      for (std::size_t i = 0; i < 3; ++i) {
        INFO("seed " << seed << " instance " << i);
        CHECK_FALSE(views[i]->MayDispatchInto(kBrest, now));
      }
    }
  }
}

}  // namespace wist
