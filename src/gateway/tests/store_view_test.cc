#include <catch2/catch.hpp>

#include "framework/net/tests/mocks/virtual_scheduler.h"
#include "gateway/internal/store_view.h"
#include "gateway/tests/mocks/plain_dialect.h"
#include "gateway/tests/mocks/recorded_logger.h"

using namespace wist;

namespace {

// Decodes plain values: a configuration is its version, a target its failure
// domain.
class text_dialect final : public plain_dialect {
 public:
  bool IsConfigurationKey(const std::string& key) const override {
    return key == "operator/configuration";
  }
  std::optional<domain_id> EvacuatedDomain(
      const std::string& key) const override {
    if (!key.starts_with("operator/out/"))
      return std::nullopt;
    return domain_id(key.substr(13));
  }
  routing_configuration DecodeConfiguration(
      const std::string& value) const override {
    routing_configuration configuration;
    configuration.version = std::stoll(value);
    return configuration;
  }
  std::optional<target_entry> DecodeTarget(
      const std::string& key,
      const std::string& value) const override {
    if (value == "unreadable")
      return std::nullopt;
    target_entry entry;
    entry.id = TargetIdFromKey(key);
    entry.service = service_id("s");
    entry.domain = domain_id(value);
    entry.sequence = 1;
    return entry;
  }
  target_id TargetIdFromKey(const std::string& key) const override {
    return target_id(key.substr(8));
  }
};

class scripted_store final : public i_async_store {
 public:
  void ReadRange(const std::string&,
                 const std::string&,
                 std::function<void(range_result)> done) override {
    range_done = std::move(done);
  }
  void Watch(const std::string&,
             store_revision,
             milliseconds,
             std::function<void(watch_result)> done) override {
    watch_done = std::move(done);
  }
  void ReadRecent(const std::string&,
                  std::function<void(range_result)> done) override {
    done(range_page{announced, false, 1});
  }
  void CreateLease(
      milliseconds,
      std::function<void(std::optional<store_lease>)> done) override {
    done(5);
  }
  void RenewLease(store_lease,
                  std::function<void(lease_renewal)> done) override {
    done(lease_renewal::renewed);
  }
  void PutUnderLease(const std::string& key,
                     const std::string&,
                     store_lease,
                     std::function<void(bool)> done) override {
    puts.push_back(key);
    put_done = std::move(done);
  }
  void PutIfUnchanged(const std::string&,
                      store_revision,
                      const std::string&,
                      store_lease,
                      std::function<void(put_result)>) override {}
  void PutDurably(const std::vector<key_condition>&,
                  const std::string&,
                  const std::string&,
                  std::function<void(put_result)>) override {}

  std::function<void(range_result)> range_done;
  std::function<void(watch_result)> watch_done;
  std::vector<store_change> announced;
  std::vector<std::string> puts;
  std::function<void(bool)> put_done;
};

struct store_view_fixture {
  store_view_fixture() { view.Start(); }

  static gateway_settings Settings() {
    gateway_settings settings;
    settings.instance = "self";
    settings.domain = domain_id("d");
    settings.peer_listen = {"10.0.0.1", 7200};
    return settings;
  }

  void DeliverSnapshot(const std::vector<store_change>& items,
                       store_revision revision = 10) {
    std::exchange(store.range_done,
                  nullptr)(range_page{items, false, revision});
  }

  void DeliverChange(const store_change& change) { DeliverChanges({change}); }

  void DeliverChanges(const std::vector<store_change>& changes) {
    std::exchange(store.watch_done,
                  nullptr)(watch_page{changes, changes.back().revision});
    scheduler.Advance(milliseconds(50));
  }

  void FailWatch() {
    std::exchange(store.watch_done, nullptr)(store_error::unavailable);
    scheduler.Advance(milliseconds(150));
  }

  bool AcceptsWork(const std::string& id) {
    const known_target* target = directory.Find(target_id(id));
    return target && directory.AcceptsNewWork(*target);
  }

  virtual_scheduler scheduler;
  scripted_store store;
  text_dialect dialect;
  gateway_settings settings = Settings();
  gateway_metrics metrics;
  recorded_logger logger;
  configuration_tracker latest_configuration;
  target_directory directory;
  target_selector selector{{domain_id("d")}, directory, 1};
  struct unused_caller final : i_http_caller {
    std::shared_ptr<i_http_call> Call(const http_address&,
                                      std::string,
                                      const call_options&,
                                      call_callbacks) override {
      return nullptr;
    }
    void CloseIdleChannels(const http_address&) override {}
  } caller;
  gateway_services services{
      settings,  scheduler, caller, dialect, latest_configuration,
      directory, selector,  logger, metrics, [] {}};
  store_view view{settings, dialect, store, store, services, 1};
};

}  // namespace

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

TEST_CASE("a snapshot after lost history removes deleted targets") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", 5}, {"targets/b", "d1", 6}});
  std::exchange(f.store.watch_done, nullptr)(store_error::history_gone);
  f.scheduler.Advance(milliseconds(1));
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
    std::exchange(f.store.watch_done, nullptr)(store_error::history_gone);
    f.scheduler.Advance(milliseconds(1));
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
  std::exchange(f.store.watch_done, nullptr)(store_error::history_gone);
  f.scheduler.Advance(milliseconds(1));
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

// Guards against targets whose entries went with the store's latest writes, and
// against readers of the mirror that keep them.
TEST_CASE("entries that the store has lost may be written again for a time") {
  store_view_fixture f;
  f.DeliverSnapshot({{"operator/configuration", "7", {1, 3}},
                     {"targets/a", "d1", {1, 5}},
                     {"targets/b", "d2", {1, 9}}},
                    {1, 10});
  std::exchange(f.store.watch_done, nullptr)(store_error::history_gone);
  f.scheduler.Advance(milliseconds(1));
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
    std::exchange(f.store.watch_done, nullptr)(store_error::history_gone);
    f.scheduler.Advance(milliseconds(1));
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

namespace {

void ReadAgain(store_view_fixture& f) {
  std::exchange(f.store.watch_done, nullptr)(store_error::history_gone);
  f.scheduler.Advance(milliseconds(1));
}

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
  ReadAgain(f);
  f.DeliverSnapshot({{"operator/configuration", "7", {2, 60}}}, {2, 65});
  CHECK(ReaderReceives(f, {2, 50}) == "history_gone");
}

// The copy has targets/t, which was removed at {1, 90}; the reader read it at
// {2, 50}. It is removed again at {2, 60}.
TEST_CASE("a reader of the new era receives the removal of an entry") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", {1, 3}}}, {1, 100});
  ReadAgain(f);
  f.DeliverSnapshot({{"targets/a", "d1", {2, 3}}}, {2, 65});
  CHECK(ReaderReceives(f, {2, 50}) == "history_gone");
}

// targets/t was lost with the copy (the reader read {2, 50} without it) and
// written again at {2, 60}.
TEST_CASE("a reader of the new era receives an entry that is written again") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/t", "d1", {1, 95}}}, {1, 100});
  ReadAgain(f);
  f.DeliverSnapshot({{"targets/t", "d1", {2, 60}}}, {2, 65});
  CHECK(ReaderReceives(f, {2, 50}) == "history_gone");
}

// The same within one era: the store has discarded its history.
TEST_CASE("a reader between two contents of an era receives a removal") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", 3}}, 100);
  ReadAgain(f);
  // targets/t was written at 140, read by the reader at 150, removed at 160.
  f.DeliverSnapshot({{"targets/a", "d1", 3}}, 165);
  CHECK(ReaderReceives(f, 150) == "history_gone");
}

// This instance read {3, 23} with v2. It reads again, from a mirror that had v3
// since {2, 26} and found it unchanged at {3, 29}.
TEST_CASE("a change whose revision is of an earlier era is passed on") {
  store_view_fixture f;
  f.DeliverSnapshot({{"operator/configuration", "2", {2, 5}}}, {3, 23});
  ReadAgain(f);
  f.DeliverSnapshot({{"operator/configuration", "3", {2, 26}}}, {3, 40});
  CHECK(ReaderReceives(f, {3, 23}) == "at 3.40: operator/configuration=3");
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

// Guards against sound targets that look removed. Two eras within the grace:
// the owner of a lost entry has two seconds from the second return.
TEST_CASE("a second era prolongs the grace of a missing entry") {
  store_view_fixture f;
  f.DeliverSnapshot({{"targets/a", "d1", {1, 5}}}, {1, 10});
  ReadAgain(f);
  f.DeliverSnapshot({}, {2, 6});
  f.scheduler.Advance(milliseconds(1900));
  ReadAgain(f);
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
