#include <catch2/catch.hpp>

#include "gateway/tests/mocks/store_view_fixture.h"

using namespace wist;

TEST_CASE("a snapshot sets configuration, domains, targets and instances") {
  store_view_fixture f;
  f.DeliverSnapshot({{"operator/configuration", "7", 3},
                     {"operator/out/d2", "", 4},
                     {"targets/a", "d1", 5},
                     {"targets/b", "d2", 6},
                     {"targets/c", "unreadable", 7},
                     {"wist/instances/peer", "10.0.0.2:7200 d", 8},
                     {"wist/instances/self", "10.0.0.1:7200 d", 9}});
  CHECK(f.latest_configuration.version() == 7);
  CHECK(f.AcceptsWork("a"));
  CHECK_FALSE(f.AcceptsWork("b"));
  CHECK(f.directory.Find(target_id("c")) == nullptr);
  REQUIRE(f.view.OtherInstances().size() == 1);
  CHECK(f.view.OtherInstances()[0].name == "peer");
  CHECK(f.store.puts == std::vector<std::string>{"wist/instances/self"});
}

TEST_CASE("changes take effect as they arrive") {
  store_view_fixture f;
  f.DeliverSnapshot(
      {{"operator/configuration", "7", 3}, {"targets/a", "d1", 5}});
  f.DeliverChange({"operator/configuration", "9", 11});
  CHECK(f.latest_configuration.version() == 9);
  f.DeliverChange({"operator/configuration", "8", 12});
  CHECK(f.latest_configuration.version() == 9);
  f.DeliverChange({"operator/out/d1", "", 13});
  CHECK_FALSE(f.AcceptsWork("a"));
  f.DeliverChange({"operator/out/d1", std::nullopt, 14});
  CHECK(f.AcceptsWork("a"));
  f.DeliverChange({"targets/a", std::nullopt, 15});
  CHECK_FALSE(f.AcceptsWork("a"));
}

TEST_CASE("entries that expired in an outage may return in the grace period") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", 5}, {"targets/b", "d1", 6}});
  f.FailWatch();
  f.DeliverChange({"targets/a", std::nullopt, 20});
  f.DeliverChange({"targets/b", std::nullopt, 21});
  CHECK(f.AcceptsWork("a"));
  f.DeliverChange({"targets/a", "d1", 22});
  f.directory.Expire(f.scheduler.Now() + milliseconds(2000));
  CHECK(f.AcceptsWork("a"));
  CHECK_FALSE(f.AcceptsWork("b"));
}

// Guards against requests to a target for the whole grace after it has left: an
// outage has ended shortly before.
TEST_CASE("the grace of an entry counts from the end of the outage") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", 5}});
  f.FailWatch();
  f.DeliverChange({"targets/b", "d1", 20});
  f.scheduler.Advance(milliseconds(1500));
  f.DeliverChange({"targets/a", std::nullopt, 21});
  CHECK(f.AcceptsWork("a"));
  f.scheduler.Advance(milliseconds(500));
  f.directory.Expire(f.scheduler.Now());
  CHECK_FALSE(f.AcceptsWork("a"));
}

// Guards against requests to a target that has left: a single watch is cut, and
// the removal is acknowledged right after it.
TEST_CASE("a removal beside one cut watch ends the use of its target in time") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", 5}});
  std::exchange(f.store.watch_done, nullptr)(store_error::unavailable);
  const timestamp removed_at = f.scheduler.Now();
  f.scheduler.Advance(milliseconds(100));
  f.DeliverChange({"targets/a", std::nullopt, 21});
  while (f.AcceptsWork("a")) {
    f.scheduler.Advance(milliseconds(1));
    f.directory.Expire(f.scheduler.Now());
  }
  const auto used_ms = (f.scheduler.Now() - removed_at).count() / 1000;
  CHECK(used_ms <= 2000);
}

TEST_CASE("a snapshot after lost history removes deleted targets") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", 5}, {"targets/b", "d1", 6}});
  f.LoseHistory();
  f.DeliverSnapshot({{"targets/a", "d1", 5}}, 90);
  CHECK(f.AcceptsWork("a"));
  CHECK_FALSE(f.AcceptsWork("b"));
}

TEST_CASE("a failed announcement is retried") {
  store_view_fixture f;
  f.DeliverSnapshot({});
  f.store.put_done(false);
  f.scheduler.Advance(milliseconds(2100));
  CHECK(f.store.puts.size() == 2);
}

// Guards against all instances reading the store at once after a total loss of
// power: each of them reads through its parent, which needs to be known first.
TEST_CASE(
    "instances that were announced recently are known before the store "
    "is read") {
  store_view_fixture f;
  scripted_store store;
  store.announced = {{"wist/instances/peer", "10.0.0.2:7200 d 10 7", 8}};
  store_view view{f.settings, f.dialect, store, store, f.services, 1};
  int notified = 0;
  view.SubscribeToInstances([&] {
    ++notified;
    REQUIRE(view.OtherInstances().size() == 1);
    CHECK_FALSE(store.range_done);
  });
  view.Start();
  CHECK(notified == 1);
  CHECK(store.range_done);
}

// Guards against the time that all instances of a large fleet spend on their
// lists while others start: a list was rebuilt for each entry that was read.
TEST_CASE("the list of instances is reported once a read, if it changes") {
  store_view_fixture f;
  int reports = 0;
  std::vector<known_instance> reported;
  f.view.SubscribeToInstances([&] {
    ++reports;
    reported = f.view.OtherInstances();
  });
  known_instance a{"a", domain_id("d"), {"10.0.0.2", 7200}, 0, 7201};
  const known_instance b{"b", domain_id("d"), {"10.0.0.3", 7200}, 0, 0};
  f.DeliverSnapshot({{"wist/instances/a", "10.0.0.2:7200 d 0 5 7201", 7},
                     {"wist/instances/b", "10.0.0.3:7200 d 0 6", 8},
                     {"wist/instances/self", "10.0.0.1:7200 d 0 4", 9}});
  CHECK(reports == 1);
  CHECK(reported == std::vector{a, b});

  SECTION("not for what leaves the list as it is") {
    f.DeliverChange({"targets/a", "d1", 11});
    // Under another lease.
    f.DeliverChange({"wist/instances/a", "10.0.0.2:7200 d 0 7 7201", 12});
    f.DeliverChange({"wist/instances/self", "10.0.0.1:7200 d 0 8", 13});
    f.DeliverChange({"wist/instances/self", std::nullopt, 14});
    f.DeliverChange({"wist/instances/c", std::nullopt, 15});
    f.DeliverChange({"wist/instances/d", "unreadable", 16});
    CHECK(reports == 1);
  }
  SECTION("for each field that changes") {
    f.DeliverChange({"wist/instances/a", "10.0.0.9:7200 d 0 5 7201", 11});
    a.address.host = "10.0.0.9";
    CHECK(reports == 2);
    CHECK(reported == std::vector{a, b});
    f.DeliverChange({"wist/instances/a", "10.0.0.9:7200 e 0 5 7201", 12});
    a.domain = domain_id("e");
    CHECK(reports == 3);
    CHECK(reported == std::vector{a, b});
    f.DeliverChange({"wist/instances/a", "10.0.0.9:7200 e 0 5 7301", 13});
    a.relay_port = 7301;
    CHECK(reports == 4);
    CHECK(reported == std::vector{a, b});
    f.DeliverChange({"wist/instances/a", "10.0.0.9:7200 e 500 5 7301", 14});
    a.link_mbps = 500;
    CHECK(reports == 5);
    CHECK(reported == std::vector{a, b});
  }
  SECTION("for an entry that is removed") {
    f.DeliverChange({"wist/instances/a", std::nullopt, 11});
    CHECK(reports == 2);
    CHECK(reported == std::vector{b});
  }
  SECTION("for an entry that can't be read any more") {
    f.DeliverChange({"wist/instances/a", "unreadable", 11});
    CHECK(reports == 2);
    CHECK(reported == std::vector{b});
  }
  SECTION("once for several") {
    f.DeliverChanges({{"wist/instances/b", std::nullopt, 16},
                      {"wist/instances/c", "10.0.0.5:7200 d 0 9", 17},
                      {"wist/instances/d", "10.0.0.6:7200 d 0 9", 18}});
    CHECK(reports == 2);
    CHECK(reported.size() == 3);
  }
  SECTION("for entries that are missing after lost history") {
    f.LoseHistory();
    f.DeliverSnapshot({{"wist/instances/b", "10.0.0.3:7200 d 0 6", 8}}, 90);
    CHECK(reports == 2);
    CHECK(reported == std::vector{b});
  }
}

TEST_CASE("an entry that the store lost is written again") {
  store_view_fixture f;
  f.DeliverSnapshot({{"wist/instances/self", "10.0.0.1:7200 d 0 5", 9}});
  f.store.put_done(true);
  f.DeliverChange({"wist/instances/self", std::nullopt, 20});
  CHECK(f.store.puts.size() == 2);
}

// Guards against the same content being sent to each instance again. When the
// store forgets its history, a leaving target would otherwise be known only
// once the whole content has passed through each level of the watch tree.
TEST_CASE("readers of the mirror receive the differences after lost history") {
  store_view_fixture f;
  f.DeliverSnapshot({{"operator/configuration", "7", 3},
                     {"targets/a", "d1", 5},
                     {"targets/b", "d2", 6}});
  f.LoseHistory();
  f.DeliverSnapshot({{"operator/configuration", "7", 3},
                     {"targets/a", "d9", 40},
                     {"targets/c", "d3", 50}},
                    90);
  const auto page = f.view.mirror().Watch("", 10, f.scheduler.Now());
  REQUIRE(page);
  const auto& changes = std::get<watch_page>(*page).changes;
  const std::vector<store_change> expected = {{"targets/b", std::nullopt, 90},
                                              {"targets/a", "d9", 40},
                                              {"targets/c", "d3", 50}};
  CHECK(changes == expected);
  CHECK(std::get<watch_page>(*page).at_revision == 90);
}

// Guards against a roll-out that is missed, or goes on after its request was
// removed, because the history of the store was lost.
TEST_CASE("roll-out keys are passed on from changes and from snapshots") {
  store_view_fixture f;
  std::vector<store_change> seen;
  f.view.SubscribeToRollouts(
      [&](const store_change& change) { seen.push_back(change); });
  const store_change request{"operator/rollout/desk", "desk v2 12", 3};
  const store_change status{"status/desk", "0 v2 3", 4};
  f.DeliverSnapshot({request, status, {"status", "x", 5}});
  CHECK(seen == std::vector<store_change>{request, status});
  seen.clear();
  const store_change removal{"status/desk", std::nullopt, 11};
  f.DeliverChange(removal);
  CHECK(seen == std::vector<store_change>{removal});
  seen.clear();
  std::exchange(f.store.watch_done, nullptr)(store_error::history_gone);
  f.scheduler.Advance(milliseconds(10));
  f.DeliverSnapshot({{"targets/a", "d1", 12}}, 20);
  REQUIRE(seen.size() == 2);
  CHECK(seen[0].key == "targets/a");
  CHECK(seen[1].key == request.key);
  CHECK_FALSE(seen[1].value);
  // The version of that target has been registered now.
  f.DeliverChange({"targets/a", "d1", 21});
  CHECK(seen.size() == 2);
}
