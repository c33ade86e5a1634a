#include <catch2/catch.hpp>

#include "follower/store_mirror.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

store_mirror Mirror() {
  store_mirror mirror;
  mirror.SetAll({{"a/1", {"a/1", "x", 3}}, {"b/1", {"b/1", "y", 5}}});
  mirror.Confirm(10, At(1000));
  return mirror;
}

}  // namespace

TEST_CASE("a range page contains the age of the mirror") {
  const store_mirror mirror = Mirror();
  const range_page page =
      std::get<range_page>(mirror.ReadRange("a/", At(1400)));
  REQUIRE(page.items.size() == 1);
  CHECK(page.items[0].key == "a/1");
  CHECK(page.at_revision == 10);
  CHECK(page.age == milliseconds(400));
}

TEST_CASE("a mirror without content is unavailable") {
  const store_mirror mirror;
  CHECK(std::holds_alternative<store_error>(mirror.ReadRange("", At(0))));
  CHECK(std::holds_alternative<store_error>(*mirror.Watch("", 0, At(0))));
}

TEST_CASE("a watch returns the changes after its revision") {
  store_mirror mirror = Mirror();
  CHECK_FALSE(mirror.Watch("", 10, At(1000)));
  mirror.Apply({"a/1", std::nullopt, 12});
  mirror.Apply({"b/2", "z", 13});
  mirror.Confirm(13, At(1100));
  const auto all = std::get<watch_page>(*mirror.Watch("", 10, At(1100)));
  CHECK(all.changes.size() == 2);
  CHECK(all.at_revision == 13);
  const auto later = std::get<watch_page>(*mirror.Watch("", 12, At(1100)));
  CHECK(later.changes.size() == 1);
  CHECK_FALSE(mirror.Watch("a/", 12, At(1100)));
}

TEST_CASE("a watch from before the snapshot reports that the history is gone") {
  const store_mirror mirror = Mirror();
  CHECK(std::get<store_error>(*mirror.Watch("", 9, At(1000))) ==
        store_error::history_gone);
}

TEST_CASE("a mirror that is behind its caller confirms nothing") {
  const store_mirror mirror = Mirror();
  CHECK_FALSE(mirror.Watch("", 11, At(1000)));
  CHECK(std::holds_alternative<store_error>(
      mirror.EmptyWatchResult(11, At(1000))));
}

TEST_CASE(
    "a watch from before the start of the log reports that the history is "
    "gone") {
  store_mirror mirror = Mirror();
  for (int i = 0; i < 2000; ++i)
    mirror.Apply({"a/2", "v", 11 + i});
  mirror.Confirm(2010, At(2000));
  CHECK(std::get<store_error>(*mirror.Watch("", 10, At(2000))) ==
        store_error::history_gone);
  CHECK(
      std::get<watch_page>(*mirror.Watch("", 2005, At(2000))).changes.size() ==
      5);
}

// Guards against sending every intermediate value of the configuration over
// slow links when it changes several times a second.
TEST_CASE("earlier changes of a key are dropped from the log on request") {
  store_mirror mirror;
  mirror.SetAll({});
  mirror.Confirm(5, timestamp{});
  mirror.Apply({"large", "one", 6}, change_kind::replaces_earlier);
  mirror.Apply({"small", "one", 7});
  mirror.Apply({"large", "two", 8}, change_kind::replaces_earlier);
  mirror.Apply({"small", "two", 9});
  mirror.Confirm(9, timestamp{});
  const auto page = mirror.Watch("", 5, timestamp{});
  REQUIRE(page);
  const std::vector<store_change> expected = {
      {"small", "one", 7}, {"large", "two", 8}, {"small", "two", 9}};
  CHECK(std::get<watch_page>(*page).changes == expected);
}

// A thousand targets renew their entries about eight hundred times a second. If
// each renewal were passed on, every instance would read as much as the root of
// the watch tree.
TEST_CASE("renewals are not passed on") {
  store_mirror mirror = Mirror();
  mirror.Apply({"a/1", "x2", 11}, change_kind::renewal);
  mirror.Apply({"b/1", "y2", 12}, change_kind::renewal);
  mirror.Confirm(12, At(1100));
  CHECK_FALSE(mirror.Watch("", 10, At(1100)));
  const range_page all = std::get<range_page>(mirror.ReadRange("", At(1100)));
  CHECK(all.items[0].value == "x2");
}

// A delayed entry of a target that was removed must not look new to an instance
// that missed the renewals before the removal.
TEST_CASE("the last renewal before another change is passed on with it") {
  store_mirror mirror = Mirror();
  mirror.Apply({"a/1", "sequence 4", 11}, change_kind::renewal);
  mirror.Apply({"b/1", "sequence 4", 12}, change_kind::renewal);
  mirror.Apply({"a/1", "sequence 5", 13}, change_kind::renewal);
  mirror.Apply({"a/1", std::nullopt, 14});
  mirror.Apply({"a/1", "sequence 4", 15});
  mirror.Confirm(15, At(1100));
  const std::vector<store_change> expected = {{"a/1", "sequence 5", 13},
                                              {"a/1", std::nullopt, 14},
                                              {"a/1", "sequence 4", 15}};
  // Empty pages have taken the reader past the renewal.
  for (const std::int64_t since_revision : {10, 13}) {
    const auto page =
        std::get<watch_page>(*mirror.Watch("", since_revision, At(1100)));
    CHECK(page.changes == expected);
  }
}

TEST_CASE("renewals of three thousand targets do not displace other changes") {
  store_mirror mirror;
  std::map<std::string, store_change> items;
  for (int i = 0; i < 3000; ++i) {
    const std::string key = "t" + std::to_string(i);
    items[key] = {key, "v", 1};
  }
  mirror.SetAll(items);
  mirror.Confirm(10, At(0));
  mirror.Apply({"config", "c", 11});
  for (int i = 0; i < 30'000; ++i)
    mirror.Apply({"t" + std::to_string(i % 3000), "v", 12 + i},
                 change_kind::renewal);
  mirror.Confirm(30'011, At(10'000));
  const auto page = mirror.Watch("", 10, At(10'000));
  REQUIRE(page);
  CHECK(std::get<watch_page>(*page).changes.size() == 1);
}

namespace {

// Returns a mirror that has read {1, 10}, and then the content of the next era.
store_mirror MirrorOfSecondEra() {
  store_mirror mirror;
  mirror.SetAll({{"a/1", {"a/1", "x", {1, 3}}}, {"b/1", {"b/1", "y", {1, 5}}}});
  mirror.Confirm({1, 10}, At(1000));
  mirror.ApplyRemovals({{"a/1", {"a/1", "w", {2, 2}}}}, {2, 4});
  mirror.Apply({"a/1", "w", {2, 2}});
  mirror.Confirm({2, 4}, At(2000));
  return mirror;
}

}  // namespace

// Guards against readers that keep what the store has lost: revisions of the
// later era are lower than theirs.
TEST_CASE("a watch from an earlier era returns the changes to the later one") {
  const store_mirror mirror = MirrorOfSecondEra();
  const auto page = std::get<watch_page>(*mirror.Watch("", {1, 10}, At(2000)));
  CHECK(page.changes == std::vector<store_change>{{"b/1", std::nullopt, {2, 4}},
                                                  {"a/1", "w", {2, 2}}});
  CHECK(page.at_revision == store_revision(2, 4));
  CHECK_FALSE(mirror.Watch("", {2, 4}, At(2000)));
}

TEST_CASE(
    "a watch from a revision that the mirror never had reports that the "
    "history "
    "is gone") {
  const store_mirror mirror = MirrorOfSecondEra();
  for (const store_revision since :
       {store_revision(1, 11), store_revision(0, 10), store_revision(1, 9)}) {
    INFO(since.era << " " << since.number);
    CHECK(std::get<store_error>(*mirror.Watch("", since, At(2000))) ==
          store_error::history_gone);
  }
}

TEST_CASE("a mirror of an earlier era confirms nothing to a later one") {
  const store_mirror mirror = MirrorOfSecondEra();
  CHECK_FALSE(mirror.Watch("", {3, 1}, At(2000)));
  CHECK(std::holds_alternative<store_error>(
      mirror.EmptyWatchResult({3, 1}, At(2000))));
}

// Two eras further: the numbers of {1, x} and {2, x} have nothing in common.
TEST_CASE("a reader two eras behind has lost its history") {
  store_mirror mirror;
  mirror.SetAll({});
  mirror.Confirm({1, 10}, At(1000));
  mirror.Confirm({2, 30}, At(2000));
  mirror.Apply({"a", "x", {3, 4}});
  mirror.Confirm({3, 5}, At(3000));
  CHECK(std::get<store_error>(*mirror.Watch("", {1, 20}, At(3000))) ==
        store_error::history_gone);
}

// Guards against entries that a reader keeps for good: "b" was written at 12
// and removed at 18, while a mirror had read 10 and then 20. The mirror below
// it has the differences, but not what is between them.
TEST_CASE("a gap is passed on to the mirrors below") {
  store_mirror parent;
  parent.SetAll({});
  parent.Confirm(10, At(1000));
  const std::map<std::string, store_change> items = {{"a", {"a", "x", 15}}};
  parent.ApplyRemovals(items, 20);
  parent.Apply(items.at("a"));
  parent.Confirm(20, At(2000));

  store_mirror child;
  child.SetAll({});
  child.Confirm(10, At(1000));
  const auto page = std::get<watch_page>(*parent.Watch("", 10, At(2000)));
  REQUIRE(page.has_gap);
  child.AddGap(page.at_revision);
  for (const store_change& change : page.changes)
    child.Apply(change);
  child.Confirm(page.at_revision, At(2000));
  // A reader that has "b", from the store.
  CHECK(std::get<store_error>(*child.Watch("", 14, At(2000))) ==
        store_error::history_gone);
  const auto next = std::get<watch_page>(*child.Watch("", 10, At(2000)));
  CHECK(next.changes == page.changes);
  CHECK(next.has_gap);
  CHECK_FALSE(child.Watch("", 20, At(2000)));
  CHECK_FALSE(
      std::get<watch_page>(child.EmptyWatchResult(20, At(2000))).has_gap);
}

TEST_CASE("a gap without a change for the reader is stated too") {
  store_mirror mirror;
  mirror.SetAll({});
  mirror.Confirm(10, At(1000));
  mirror.ApplyRemovals({}, 20);
  mirror.Confirm(20, At(2000));
  CHECK(std::get<watch_page>(mirror.EmptyWatchResult(10, At(2000))).has_gap);
}
