#include <catch2/catch.hpp>

#include "gateway/tests/mocks/store_view_fixture.h"

// Tests that a view and the readers of its mirror follow a store that returns
// from an older copy or has discarded its history.

using namespace wist;

namespace {

// Returns what a reader of the mirror at `since` receives: the changes, or the
// empty page at the end of its wait.
std::string ReaderReceives(store_view_fixture& f, store_revision since) {
  auto result = f.view.mirror().Watch("", since, f.scheduler.Now());
  if (!result)
    result = f.view.mirror().EmptyWatchResult(since, f.scheduler.Now());
  if (const auto* error = std::get_if<store_error>(&*result))
    return std::string(StoreErrorName(*error));
  const auto& page = std::get<watch_page>(*result);
  std::string text = "at " + std::to_string(page.at_revision.era) + "." +
                     std::to_string(page.at_revision.number) + ":";
  for (const auto& change : page.changes)
    text += " " + change.key + "=" + change.value.value_or("-");
  return text;
}

}  // namespace

// Guards against an older configuration and targets that have left, which an
// instance keeps that has started while the store returned: its revision lies
// between the two contents that its parent has had.
// The reader read {2, 50} from the store itself (v6). This instance had v7 in
// era 1 and reads {2, 65}, after the operator has written v7 again at {2, 60}.
TEST_CASE(
    "a reader of the new era receives a configuration that is written again") {
  store_view_fixture f;
  f.DeliverSnapshot({{"operator/configuration", "7", {1, 95}}}, {1, 100});
  f.LoseHistory();
  f.DeliverSnapshot({{"operator/configuration", "7", {2, 60}}}, {2, 65});
  CHECK(ReaderReceives(f, {2, 50}) == "history_gone");
}

// The copy has targets/t, which was removed at {1, 90}; the reader read it at
// {2, 50}. It is removed again at {2, 60}.
TEST_CASE("a reader of the new era receives the removal of an entry") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", {1, 3}}}, {1, 100});
  f.LoseHistory();
  f.DeliverSnapshot({{"targets/a", "d1", {2, 3}}}, {2, 65});
  CHECK(ReaderReceives(f, {2, 50}) == "history_gone");
}

// targets/t was lost with the copy (the reader read {2, 50} without it) and
// written again at {2, 60}.
TEST_CASE("a reader of the new era receives an entry that is written again") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/t", "d1", {1, 95}}}, {1, 100});
  f.LoseHistory();
  f.DeliverSnapshot({{"targets/t", "d1", {2, 60}}}, {2, 65});
  CHECK(ReaderReceives(f, {2, 50}) == "history_gone");
}

// The same within one era: the store has discarded its history.
TEST_CASE("a reader between two contents of an era receives a removal") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", 3}}, 100);
  f.LoseHistory();
  // targets/t was written at 140, read by the reader at 150, removed at 160.
  f.DeliverSnapshot({{"targets/a", "d1", 3}}, 165);
  CHECK(ReaderReceives(f, 150) == "history_gone");
}

// This instance read {3, 23} with v2. It reads again, from a mirror that had v3
// since {2, 26} and found it unchanged at {3, 29}.
TEST_CASE("a change whose revision is of an earlier era is passed on") {
  store_view_fixture f;
  f.DeliverSnapshot({{"operator/configuration", "2", {2, 5}}}, {3, 23});
  f.LoseHistory();
  f.DeliverSnapshot({{"operator/configuration", "3", {2, 26}}}, {3, 40});
  CHECK(ReaderReceives(f, {3, 23}) == "at 3.40: operator/configuration=3");
}

// Guards against sound targets that look removed. Two eras within the grace:
// the owner of a lost entry has two seconds from the second return.
TEST_CASE("a second era prolongs the grace of a missing entry") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", {1, 5}}}, {1, 10});
  f.LoseHistory();
  f.DeliverSnapshot({}, {2, 6});
  f.scheduler.Advance(milliseconds(1900));
  f.LoseHistory();
  f.DeliverSnapshot({}, {3, 6});
  f.scheduler.Advance(milliseconds(500));
  f.directory.Expire(f.scheduler.Now());
  CHECK(f.AcceptsWork("a"));
}

// Guards against an instance that the others lack: its parent, through
// which it enters the era, never had its entry.
TEST_CASE("an own entry that is lost with the store is written again") {
  store_view_fixture f;
  f.DeliverSnapshot({}, {1, 100});
  REQUIRE(f.store.put_done);
  f.store.put_done(true);
  const std::size_t puts = f.store.puts.size();
  std::exchange(f.store.watch_done,
                nullptr)(watch_page{{}, {2, 60}, milliseconds(5)});
  f.scheduler.Advance(milliseconds(2500));
  CHECK(f.store.puts.size() == puts + 1);
}

// Guards against targets whose entries went with the store's latest writes, and
// against readers of the mirror that keep them.
TEST_CASE("entries that the store has lost may be written again for a time") {
  store_view_fixture f;
  f.DeliverSnapshot({{"operator/configuration", "7", {1, 3}},
                     {"targets/a", "d1", {1, 5}},
                     {"targets/b", "d2", {1, 9}}},
                    {1, 10});
  f.LoseHistory();
  f.DeliverSnapshot(
      {{"operator/configuration", "7", {2, 3}}, {"targets/a", "d1", {2, 5}}},
      {2, 6});
  CHECK(f.AcceptsWork("b"));
  const auto page = f.view.mirror().Watch("", {1, 10}, f.scheduler.Now());
  REQUIRE(page);
  const std::vector<store_change> expected = {
      {"targets/b", std::nullopt, {2, 6}}};
  CHECK(std::get<watch_page>(*page).changes == expected);
  f.scheduler.Advance(milliseconds(3000));
  f.directory.Expire(f.scheduler.Now());
  CHECK_FALSE(f.AcceptsWork("b"));
  CHECK(f.AcceptsWork("a"));
}

// Guards against requests to the targets of an evacuated domain: the store has
// returned from a copy that is older than the evacuation.
TEST_CASE(
    "an evacuation that the store has lost holds until it may be written") {
  for (const bool is_written_again : {true, false}) {
    INFO(is_written_again);
    store_view_fixture f;
    f.DeliverSnapshot({{"operator/out/d", "", {1, 9}}}, {1, 10});
    CHECK(f.directory.IsEvacuated(domain_id("d")));
    f.LoseHistory();
    f.DeliverSnapshot({}, {2, 6});
    CHECK(f.directory.IsEvacuated(domain_id("d")));
    if (is_written_again)
      f.DeliverChange({"operator/out/d", "", {2, 7}});
    f.scheduler.Advance(milliseconds(1900));
    CHECK(f.directory.IsEvacuated(domain_id("d")));
    f.scheduler.Advance(milliseconds(200));
    CHECK(f.directory.IsEvacuated(domain_id("d")) == is_written_again);
    f.DeliverChange({"operator/out/d", std::nullopt, {2, 8}});
    CHECK_FALSE(f.directory.IsEvacuated(domain_id("d")));
  }
}
