#include <catch2/catch.hpp>

#include <deque>

#include "follower/prefix_follower.h"
#include "framework/net/tests/mocks/virtual_scheduler.h"

using namespace wist;

namespace {

// Keeps the last call of each kind until the test responds to it.
class scripted_store final : public i_store_reader {
 public:
  void ReadRange(const std::string&,
                 const std::string& after_key,
                 std::function<void(range_result)> done) override {
    range_after.push_back(after_key);
    range_done = std::move(done);
  }
  void Watch(const std::string&,
             store_revision since_revision,
             milliseconds,
             std::function<void(watch_result)> done) override {
    watch_since.push_back(since_revision);
    watch_done = std::move(done);
  }

  void RespondToRange(range_result result) {
    std::exchange(range_done, nullptr)(std::move(result));
  }
  void RespondToWatch(watch_result result) {
    std::exchange(watch_done, nullptr)(std::move(result));
  }

  std::vector<std::string> range_after;
  std::vector<store_revision> watch_since;
  std::function<void(range_result)> range_done;
  std::function<void(watch_result)> watch_done;
};

struct recording_listener final : i_prefix_listener {
  void OnSnapshot(const std::map<std::string, store_change>& items,
                  store_revision,
                  std::optional<timestamp> deadline) override {
    snapshots.push_back(items);
    grace_deadline = deadline;
  }
  void OnChange(const store_change& change,
                std::optional<timestamp> deadline) override {
    changes.push_back(change.key);
    grace_deadline = deadline;
  }
  void OnGap(store_revision revision) override {
    changes.push_back("gap to " + std::to_string(revision.number));
  }
  void OnConfirmed(store_revision, timestamp at) override { confirmed_at = at; }
  void OnStoreLost(store_error) override { ++lost; }
  void OnStoreRegained() override { ++regained; }
  void OnHistoryGone(store_revision revision) override { gone_at = revision; }
  void OnRangeBehind(store_revision revision, store_revision latest) override {
    ++behind;
    behind_revision = revision;
    behind_latest = latest;
  }
  void OnNewEra(store_revision revision, store_revision) override {
    eras.push_back(revision);
  }

  std::vector<std::map<std::string, store_change>> snapshots;
  std::vector<std::string> changes;
  timestamp confirmed_at{};
  std::optional<timestamp> grace_deadline;
  int lost = 0;
  int regained = 0;
  store_revision gone_at;
  int behind = 0;
  store_revision behind_revision;
  store_revision behind_latest;
  std::vector<store_revision> eras;
};

struct fixture {
  fixture() { follower.Start(); }

  virtual_scheduler scheduler;
  scripted_store store;
  recording_listener listener;
  prefix_follower follower{"p/", {}, store, scheduler, listener, 1};
};

}  // namespace

TEST_CASE(
    "pages are merged and the watch continues from the first one's revision") {
  fixture f;
  f.store.RespondToRange(range_page{{{"p/a", "1", 3}}, true, 10});
  f.store.RespondToRange(range_page{{{"p/b", "2", 12}}, false, 12});
  CHECK(f.store.range_after == std::vector<std::string>{"", "p/a"});
  REQUIRE(f.listener.snapshots.size() == 1);
  CHECK(f.listener.snapshots[0].size() == 2);
  CHECK(f.store.watch_since == std::vector<store_revision>{10});
}

TEST_CASE("an early response confirms only the time of its call") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  CHECK(f.listener.confirmed_at == f.scheduler.Now());
  f.scheduler.Advance(milliseconds(1000));
  f.store.RespondToWatch(watch_page{{}, 10});
  CHECK(f.listener.confirmed_at == timestamp());
  const timestamp called_at = f.scheduler.Now();
  f.scheduler.Advance(milliseconds(600));
  f.store.RespondToWatch(watch_page{{{"p/a", "1", 11}}, 11});
  CHECK(f.listener.confirmed_at == called_at);
}

TEST_CASE("a response after the whole wait confirms the end of the wait") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  const timestamp called_at = f.scheduler.Now();
  f.scheduler.Advance(milliseconds(2400));
  f.store.RespondToWatch(watch_page{{}, 10});
  CHECK(f.listener.confirmed_at == called_at + milliseconds(1500));
}

TEST_CASE("the age of a page is subtracted from the confirmed time") {
  fixture f;
  f.scheduler.Advance(milliseconds(5000));
  f.store.RespondToRange(range_page{{}, false, 10, milliseconds(700)});
  CHECK(f.listener.confirmed_at == timestamp() - milliseconds(700));
  const timestamp called_at = f.scheduler.Now();
  f.store.RespondToWatch(watch_page{{}, 10, milliseconds(300)});
  CHECK(f.listener.confirmed_at == called_at - milliseconds(300));
}

TEST_CASE("content that is too old is rejected as an error of its source") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  f.store.RespondToWatch(
      watch_page{{{"p/a", "1", 11}}, 11, milliseconds(1600)});
  CHECK(f.listener.changes.empty());
  CHECK(f.listener.lost == 1);
}

TEST_CASE("all keys are read again if the history is gone") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  f.store.RespondToWatch(store_error::history_gone);
  f.scheduler.Advance(milliseconds(1));
  REQUIRE(f.store.range_after.size() == 2);
  f.store.RespondToRange(range_page{{}, false, 90});
  CHECK(f.store.watch_since.back() == 90);
  CHECK(f.listener.lost == 0);
  CHECK(f.listener.gone_at == 10);
}

// Guards against sound targets that look removed: after lost history the keys
// may be read from another mirror, which does not have the latest ones yet.
TEST_CASE("keys are read again if their source is behind what is known") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  f.store.RespondToWatch(watch_page{{{"p/a", "1", 12}}, 12});
  f.scheduler.Advance(milliseconds(40));
  f.store.RespondToWatch(store_error::history_gone);
  f.scheduler.Advance(milliseconds(1));
  f.store.RespondToRange(range_page{{}, false, 11});
  CHECK(f.listener.snapshots.size() == 1);
  CHECK(f.listener.lost == 0);
  CHECK(f.listener.behind == 1);
  CHECK(f.listener.behind_revision == 11);
  CHECK(f.listener.behind_latest == 12);
  f.scheduler.Advance(milliseconds(100));
  REQUIRE(f.store.range_done);
  f.store.RespondToRange(range_page{{{"p/a", "1", 12}}, false, 12});
  CHECK(f.listener.snapshots.size() == 2);
  CHECK(f.store.watch_since.back() == 12);
  CHECK_FALSE(f.listener.grace_deadline);
}

TEST_CASE("a source that stays behind what is known is used in the end") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  f.store.RespondToWatch(store_error::history_gone);
  f.scheduler.Advance(milliseconds(1));
  const timestamp started_at = f.scheduler.Now();
  while (f.listener.snapshots.size() < 2 &&
         f.scheduler.Now() < started_at + milliseconds(3000)) {
    REQUIRE(f.store.range_done);
    f.store.RespondToRange(range_page{{}, false, 4});
    f.scheduler.Advance(milliseconds(100));
  }
  CHECK(f.listener.snapshots.size() == 2);
  CHECK(f.scheduler.Now() >= started_at + milliseconds(1500));
  CHECK(f.store.watch_since.back() == 4);
}

TEST_CASE("an error is retried with increasing pauses and reported once") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  std::vector<std::size_t> calls;
  f.store.RespondToWatch(store_error::unavailable);
  for (int i = 0; i < 60; ++i) {
    f.scheduler.Advance(milliseconds(100));
    if (f.store.watch_done)
      f.store.RespondToWatch(store_error::unavailable);
  }
  CHECK(f.listener.lost == 1);
  CHECK(f.store.watch_since.size() >= 6);
  CHECK(f.store.watch_since.size() <= 15);
}

TEST_CASE("deletions shortly after an outage are marked as such") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  f.store.RespondToWatch(store_error::unavailable);
  f.scheduler.Advance(milliseconds(200));
  f.store.RespondToWatch(watch_page{{{"p/a", std::nullopt, 11}}, 11});
  CHECK(f.listener.regained == 1);
  CHECK(f.listener.grace_deadline);
  f.scheduler.Advance(milliseconds(2100));
  f.store.RespondToWatch(watch_page{{{"p/b", std::nullopt, 12}}, 12});
  CHECK_FALSE(f.listener.grace_deadline);
}

TEST_CASE("a response of a mirror confirms the time for which it was held") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  timestamp called_at = f.scheduler.Now();
  f.scheduler.Advance(milliseconds(310));
  f.store.RespondToWatch(
      watch_page{{}, 10, milliseconds(100), milliseconds(300)});
  CHECK(f.listener.confirmed_at == called_at + milliseconds(200));
  // The response may have been delayed on its way.
  called_at = f.scheduler.Now();
  f.scheduler.Advance(milliseconds(2000));
  f.store.RespondToWatch(
      watch_page{{}, 10, milliseconds(100), milliseconds(300)});
  CHECK(f.listener.confirmed_at == called_at + milliseconds(200));
}

// Guards against changes that are never read after the store has returned from
// an older copy: lower revisions would be rejected as behind.
TEST_CASE("keys of a later era are used at once whatever their revision") {
  fixture f;
  f.store.RespondToRange(range_page{{{"p/a", "1", {1, 9}}}, false, {1, 40}});
  f.store.RespondToWatch(store_error::history_gone);
  f.scheduler.Advance(milliseconds(1));
  f.store.RespondToRange(range_page{{}, false, {2, 12}});
  REQUIRE(f.listener.snapshots.size() == 2);
  CHECK(f.listener.eras == std::vector<store_revision>{{2, 12}});
  // Entries that the copy lacks may be written again.
  CHECK(f.listener.grace_deadline);
  CHECK(f.store.watch_since.back() == store_revision(2, 12));
}

TEST_CASE("a mirror of a later era passes on its changes") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, {1, 40}});
  f.store.RespondToWatch(
      watch_page{{{"p/a", std::nullopt, {2, 12}}}, {2, 12}, milliseconds(5)});
  CHECK(f.listener.changes == std::vector<std::string>{"p/a"});
  CHECK(f.listener.eras == std::vector<store_revision>{{2, 12}});
  CHECK(f.listener.grace_deadline);
  f.scheduler.Advance(milliseconds(40));
  CHECK(f.store.watch_since.back() == store_revision(2, 12));
}

// Guards against a source that has not noticed the later era, and would confirm
// what the store has lost.
TEST_CASE("content of an earlier era is never used") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, {2, 12}});
  const timestamp confirmed_at = f.listener.confirmed_at;
  f.scheduler.Advance(milliseconds(300));
  f.store.RespondToWatch(watch_page{{{"p/a", "1", {1, 60}}}, {1, 60}});
  CHECK(f.listener.changes.empty());
  CHECK(f.listener.lost == 1);
  f.scheduler.Advance(milliseconds(200));
  f.store.RespondToWatch(store_error::history_gone);
  const timestamp started_at = f.scheduler.Now();
  while (f.scheduler.Now() < started_at + milliseconds(5000)) {
    f.scheduler.Advance(milliseconds(100));
    REQUIRE(f.store.range_done);
    f.store.RespondToRange(range_page{{}, false, {1, 60}});
  }
  CHECK(f.listener.snapshots.size() == 1);
  CHECK(f.listener.confirmed_at == confirmed_at);
}

TEST_CASE("pages of two eras are not merged") {
  fixture f;
  f.store.RespondToRange(range_page{{{"p/a", "1", {1, 3}}}, true, {1, 10}});
  f.store.RespondToRange(range_page{{{"p/b", "2", {2, 4}}}, false, {2, 6}});
  CHECK(f.listener.snapshots.empty());
  f.scheduler.Advance(milliseconds(100));
  CHECK(f.store.range_after == std::vector<std::string>{"", "p/a", ""});
  f.store.RespondToRange(range_page{{{"p/b", "2", {2, 4}}}, false, {2, 6}});
  REQUIRE(f.listener.snapshots.size() == 1);
  CHECK(f.listener.snapshots[0].size() == 1);
}

TEST_CASE("a gap in the changes is reported before them") {
  fixture f;
  f.store.RespondToRange(range_page{{}, false, 10});
  watch_page page{{{"p/a", "1", 12}}, 15};
  page.has_gap = true;
  f.store.RespondToWatch(page);
  CHECK(f.listener.changes == std::vector<std::string>{"gap to 15", "p/a"});
}
