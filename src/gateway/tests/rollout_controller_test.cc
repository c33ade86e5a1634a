#include <catch2/catch.hpp>

#include "gateway/internal/rollout_controller.h"
#include "gateway/tests/mocks/exchange_fixture.h"
#include "gateway/tests/mocks/simulated_store.h"

using namespace wist;

namespace {

// The clock of a virtual scheduler.
class scheduler_clock final : public i_clock {
 public:
  explicit scheduler_clock(const virtual_scheduler& scheduler)
      : scheduler_(scheduler) {}
  timestamp Now() const override { return scheduler_.Now(); }
  calendar_time CalendarNow() const override {
    return calendar_time(seconds(1'700'000'000)) +
           std::chrono::floor<milliseconds>(
               scheduler_.Now().time_since_epoch());
  }

 private:
  const virtual_scheduler& scheduler_;
};

// The exchange fixture with targets p1 (version v1) and p2 (v2), of which a
// roll-out shifts the service "desk" to v2.
struct rollout_fixture : exchange_fixture {
  rollout_fixture() {
    SetVersion("p1", "v1", 1);
    SetVersion("p2", "v2", 2);
    rollout_environment environment;
    environment.is_decider = [this] { return is_decider; };
    environment.is_store_reachable = [this] { return is_reachable; };
    environment.other_instance_count = [this] { return other_count; };
    environment.others_sums = [this] { return others; };
    environment.on_store_call = [](const std::string&) {};
    environment.on_runs_to_move = [this] {
      ++move_calls;
      connection->OnVersionsChanged();
    };
    controller.emplace(services, store, clock, environment);
    services.versions = &*controller;
    store.mirror_delay = milliseconds(20);
    store.Attach("self", [this](const store_change& change) {
      controller->OnStoreChange(change);
    });
    controller->Start();
    Confirm();
  }

  void SetVersion(const std::string& id,
                  const std::string& version,
                  std::int64_t started_at,
                  const std::string& service = "desk") {
    target_entry entry = directory.Find(target_id(id))->entry;
    entry.version = version;
    entry.started_at = started_at;
    entry.service = service_id(service);
    entry.sequence += 1;
    directory.Upsert(entry, scheduler.Now());
  }

  // The store is read again and again.
  void Confirm() {
    confirm_timer = scheduler.RunAt(scheduler.Now() + milliseconds(100),
                                    [this] { Confirm(); });
    if (is_reachable && is_confirmed)
      latest_configuration.Confirm(4, scheduler.Now());
  }

  // Returns the versions that a request may use, in the order of the choices.
  std::string Versions(const std::string& request_id) {
    std::string versions;
    for (const version_constraint& constraint :
         controller->ConstraintsFor(service_id("desk"), request_id, false)) {
      versions += versions.empty() ? "" : ",";
      for (const char* version : {"v1", "v2"})
        versions += constraint.Allows(version) ? version : "";
    }
    return versions;
  }

  // Number of 1000 requests that may use the new version.
  int CountNew() {
    int count = 0;
    for (int i = 0; i < 1000; ++i) {
      count += Versions("r" + std::to_string(i)).find("v2") != std::string::npos
                   ? 1
                   : 0;
    }
    return count;
  }

  std::string Status() {
    for (const store_change& item : store.Items()) {
      if (item.key == "status/desk")
        return *item.value;
    }
    return "";
  }

  bool is_decider = true;
  bool is_reachable = true;
  bool is_confirmed = true;  // The latest content of the store is known.
  std::size_t other_count = 0;
  std::vector<rollout_sums> others;
  int move_calls = 0;
  simulated_store store{scheduler};
  std::shared_ptr<const i_clock> clock =
      std::make_shared<scheduler_clock>(scheduler);
  std::unique_ptr<i_timer> confirm_timer;
  std::optional<rollout_controller> controller;
};

}  // namespace

// Guards against traffic for a version that only registered.
TEST_CASE("a version that no request names receives nothing") {
  rollout_fixture f;
  f.scheduler.Advance(milliseconds(500));
  CHECK(f.CountNew() == 0);
}

TEST_CASE("a request starts the canary and its status") {
  rollout_fixture f;
  f.scheduler.Advance(milliseconds(500));
  f.store.Set("operator/rollout/desk", "desk v2 12");
  f.scheduler.Advance(milliseconds(700));
  CHECK(f.Status().starts_with("0 v2 1"));
  CHECK(f.CountNew() > 50);
  CHECK(f.CountNew() < 110);
  CHECK(f.logger.Count("rollout_order") == 1);
  CHECK(f.logger.Count("rollout_phase") >= 1);
  CHECK(f.logger.Count("rollout_status_written") == 1);
  CHECK(f.metrics.Text().find("wist_gateway_rollout_share{") ==
        std::string::npos);
  f.controller->UpdateMetrics();
  CHECK(f.metrics.Text().find("wist_gateway_rollout_share{") !=
        std::string::npos);
}

// Guards against a choice that changes with the attempt, and against a way from
// the old version to the new one.
TEST_CASE("the new version falls back to the old one, never the reverse") {
  rollout_fixture f;
  f.scheduler.Advance(milliseconds(500));
  f.store.Set("operator/rollout/desk", "desk v2 12");
  f.scheduler.Advance(milliseconds(700));
  int fall_backs = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string versions = f.Versions(id);
    CHECK((versions == "v1" || versions == "v2,v1"));
    fall_backs += versions == "v2,v1" ? 1 : 0;
    CHECK(f.Versions(id) == versions);
    const auto retry =
        f.controller->ConstraintsFor(service_id("desk"), id, true);
    REQUIRE(retry.size() == 1);
    CHECK_FALSE(retry[0].Allows("v2"));
  }
  CHECK(fall_backs > 0);
}

TEST_CASE("only a decider writes, and only while nothing is unclear") {
  rollout_fixture f;
  f.scheduler.Advance(milliseconds(500));
  SECTION("another instance decides") {
    f.is_decider = false;
    f.store.Set("operator/rollout/desk", "desk v2 12");
    f.scheduler.Advance(milliseconds(2000));
    CHECK(f.store.puts == 0);
    CHECK(f.CountNew() > 0);
  }
  SECTION("a write that was executed without a response is not repeated") {
    f.store.loses_responses = true;
    f.store.Set("operator/rollout/desk", "desk v2 12");
    f.scheduler.Advance(milliseconds(2000));
    CHECK(f.store.puts == 1);
    CHECK(f.Status().starts_with("0 v2 1"));
  }
  SECTION("nor while the content of the store after it is not known") {
    f.store.loses_responses = true;
    f.store.Set("operator/rollout/desk", "desk v2 12");
    f.scheduler.Advance(milliseconds(20));
    f.is_confirmed = false;
    f.store.mirror_delay = seconds(60);
    f.scheduler.Advance(milliseconds(3000));
    CHECK(f.store.puts == 1);
  }
  SECTION("a write is repeated after the store was read again") {
    f.store.Set("operator/rollout/desk", "desk v2 12");
    f.scheduler.Advance(milliseconds(21));
    f.store.is_available = false;
    f.is_reachable = false;
    f.scheduler.Advance(milliseconds(2000));
    CHECK(f.Status().empty());
    f.store.is_available = true;
    f.is_reachable = true;
    f.scheduler.Advance(milliseconds(1500));
    CHECK(f.Status().starts_with("0 v2 1"));
  }
}

TEST_CASE("a malformed request leaves traffic unchanged and one log line") {
  rollout_fixture f;
  f.scheduler.Advance(milliseconds(500));
  f.store.Set("operator/rollout/desk", "v2");
  f.scheduler.Advance(milliseconds(4000));
  CHECK(f.logger.Count("rollout_order") == 1);
  CHECK(f.CountNew() == 0);
  CHECK(f.Status().empty());
}

// Guards against responses that count although they say nothing about their
// target, and against bad ones that do not count.
TEST_CASE("responses are counted for the version of their target") {
  rollout_fixture f;
  f.scheduler.Advance(milliseconds(500));
  f.store.Set("operator/rollout/desk", "desk v2 12");
  f.scheduler.Advance(milliseconds(700));
  const auto total = [&] {
    return f.controller->OwnSums().at(0).samples.Total();
  };
  f.SendRequest("/once/x");
  CHECK(f.controller->OwnSums().at(0).unfinished == 1);
  const bool is_new = f.TargetName(0) == "p2";
  SECTION("a complete response") {
    f.scheduler.Advance(milliseconds(30));
    f.target_channel().Receive(f.Response("200 OK", "x"));
    const response_counts counts =
        is_new ? total().new_version : total().old_version;
    CHECK(counts.responses == 1);
    CHECK(counts.bad == 0);
    CHECK(counts.latencies[LatencyBucket(milliseconds(30))] == 1);
    CHECK((is_new ? total().old_version : total().new_version).responses == 0);
  }
  SECTION("a failure of the target") {
    f.target_channel().Receive(f.Response("500 No", "x"));
    CHECK((is_new ? total().new_version : total().old_version).bad == 1);
    CHECK(total().old_version.timed() + total().new_version.timed() == 0);
  }
  SECTION("a broken connection") {
    f.target_channel().End(channel_end::reset);
    CHECK((is_new ? total().new_version : total().old_version).bad == 1);
  }
  SECTION("a request that was not run") {
    f.target_channel().Receive(f.Response("503 No", "", "Not-Run: 1\r\n"));
    CHECK(total().old_version.responses + total().new_version.responses <= 1);
    CHECK(total().old_version.bad + total().new_version.bad == 0);
  }
  SECTION("a caller that left") {
    f.caller_channel->End(channel_end::closed);
    CHECK(total().old_version.responses + total().new_version.responses == 0);
  }
}

// Guards against a success while a run on an old target goes on.
TEST_CASE("an open run on the old version holds up the success") {
  rollout_fixture f;
  f.scheduler.Advance(milliseconds(500));
  const auto run =
      f.controller->BeginRun(f.directory.Find(target_id("p1"))->entry);
  auto other = f.controller->BeginRun(f.directory.Find(target_id("p2"))->entry);
  f.store.Set("operator/rollout/desk", "desk v2 12");
  f.scheduler.Advance(milliseconds(700));
  // One for the requests that may follow.
  CHECK(f.controller->OwnSums().at(0).unfinished == 2);
  other.reset();
  f.scheduler.Advance(milliseconds(200));
  CHECK(f.controller->OwnSums().at(0).unfinished == 2);
  // The count may outlive the controller.
  f.services.versions = nullptr;
  f.store.Detach("self");
  f.controller.reset();
}

TEST_CASE("a removed request ends its roll-out, and a repeated one does not") {
  rollout_fixture f;
  f.scheduler.Advance(milliseconds(500));
  f.store.Set("operator/rollout/desk", "desk v2 12");
  f.scheduler.Advance(milliseconds(700));
  const auto before = f.controller->OwnSums().at(0).id;
  f.store.Set("operator/rollout/desk", "desk v2 12");
  f.scheduler.Advance(milliseconds(700));
  CHECK(f.controller->OwnSums().at(0).id == before);
  CHECK(f.logger.Count("rollout_order") == 1);
  f.store.Remove("operator/rollout/desk");
  f.scheduler.Advance(milliseconds(1500));
  CHECK(f.controller->OwnSums().empty());
  CHECK(f.CountNew() == 0);
  CHECK(f.Status().starts_with(
      std::to_string(static_cast<int>(rollout_state::rolled_back)) + " v2"));
}

// Guards against requests for a version that the rest of the fleet has found
// bad, on an instance that has seen none of its responses.
TEST_CASE("what other instances have found applies at once") {
  rollout_fixture f;
  f.other_count = 1;
  f.scheduler.Advance(milliseconds(500));
  f.store.Set("operator/rollout/desk", "desk v2 12");
  f.scheduler.Advance(milliseconds(700));
  CHECK(f.CountNew() > 0);
  f.is_decider = false;
  f.is_reachable = false;
  rollout_sums sums;
  sums.id = f.controller->OwnSums().at(0).id;
  sums.instances = 1;
  sums.found_bad = true;
  f.others = {sums};
  f.scheduler.Advance(milliseconds(101));
  CHECK(f.CountNew() == 0);
  CHECK(f.logger.Count("rollout_verdict") == 1);
}

namespace {

// A stream on engine e1, which has another version than the others.
struct shifted_stream : rollout_fixture {
  shifted_stream() {
    for (const char* id : {"e1", "e2", "e3"})
      SetVersion(id, id == std::string("e1") ? "v1" : "v2",
                 id == std::string("e1") ? 1 : 2, "engines");
    scheduler.Advance(milliseconds(500));
    SendStreamRequest();
    target_channel(0).Receive(StreamHead() + Event(1));
  }

  // The status says that the shift has begun.
  void StartShift() {
    store.Set("operator/rollout/engines", "engines v2 30");
    scheduler.Advance(milliseconds(500));
    rollout_status status;
    status.target = "v2";
    status.request_revision = 1;
    status.duration_s = 30;
    status.stage = rollout_stage::shift;
    store.Set("status/engines", dialect.EncodeRolloutStatus(status));
  }
};

}  // namespace

// Guards against a run that is cut because its target ends after the success.
TEST_CASE("a run on an old target moves to a new one in the shift") {
  shifted_stream f;
  CHECK(f.TargetName(0) == "e1");
  CHECK(f.connector.channels.size() == 1);
  f.StartShift();
  f.scheduler.Advance(milliseconds(700));
  CHECK(f.move_calls > 0);
  REQUIRE(f.connector.channels.size() >= 2);
  CHECK(f.TargetName(1) == "e1");
  const std::string& move = f.target_channel(1).written;
  CHECK((move.starts_with("POST /move/r/e2") ||
         move.starts_with("POST /move/r/e3")));
}

// Guards against a success between the end of the run on its old target and its
// first event from the new one: the copy is read from the old target.
TEST_CASE("a run on its way still counts as one on the old target") {
  shifted_stream f;
  f.StartShift();
  f.scheduler.Advance(milliseconds(700));
  const auto unfinished = [&] {
    f.scheduler.Advance(milliseconds(101));
    const auto own = f.controller->OwnSums();
    return own.empty() ? 99 : own[0].unfinished;
  };
  CHECK(unfinished() == 1);
  REQUIRE(f.connector.channels.size() == 2);
  f.target_channel(1).Receive(f.Response("200 OK", "handle9"));
  f.ConfirmStop();
  CHECK(unfinished() == 1);
  f.target_channel().Receive(f.StreamHead() + f.Event(2));
  CHECK(unfinished() == 0);
}

TEST_CASE("roll-outs of two services do not affect each other") {
  rollout_fixture f;
  for (const char* id : {"e1", "e2", "e3"})
    f.SetVersion(id, id == std::string("e1") ? "v1" : "v2",
                 id == std::string("e1") ? 1 : 2, "engines");
  f.scheduler.Advance(milliseconds(500));
  f.store.Set("operator/rollout/desk", "desk v2 12");
  f.store.Set("operator/rollout/engines", "engines v2 12");
  f.scheduler.Advance(milliseconds(700));
  CHECK(f.controller->OwnSums().size() == 2);
  f.store.Remove("operator/rollout/engines");
  f.scheduler.Advance(milliseconds(1500));
  REQUIRE(f.controller->OwnSums().size() == 1);
  CHECK(f.controller->OwnSums()[0].id.service == service_id("desk"));
  CHECK(f.CountNew() > 0);
  // Its old version only.
  for (const version_constraint& constraint :
       f.controller->ConstraintsFor(service_id("engines"), "r", false))
    CHECK_FALSE(constraint.Allows("v2"));
}

// Guards against a final decision that is taken again, or against exposure, on
// an instance that starts after it or has lost the store's history.
TEST_CASE("a decided roll-out that arrives in a snapshot stays decided") {
  rollout_fixture f;
  f.store.Set("operator/rollout/desk", "desk v2 12");
  rollout_status status;
  status.state = rollout_state::rolled_back;
  status.target = "v2";
  status.request_revision = 1;
  status.duration_s = 12;
  f.store.Set("status/desk", f.dialect.EncodeRolloutStatus(status));
  f.scheduler.Advance(milliseconds(3000));
  CHECK(f.CountNew() == 0);
  CHECK(f.controller->OwnSums().empty());
  CHECK(f.store.puts == 0);
}

// Guards against a backup or a move that uses a version which the run must not
// use any more: the version was rolled back while the copy was made.
TEST_CASE("a run does not continue on a version that was rolled back") {
  shifted_stream f;
  f.StartShift();
  f.scheduler.Advance(milliseconds(700));
  REQUIRE(f.connector.channels.size() == 2);
  f.target_channel(1).Receive(f.Response("200 OK", "handle9"));
  rollout_status status;
  status.state = rollout_state::rolled_back;
  status.target = "v2";
  status.request_revision = 1;
  status.duration_s = 30;
  f.store.Set("status/engines", f.dialect.EncodeRolloutStatus(status));
  f.scheduler.Advance(milliseconds(30));
  f.ConfirmStop();
  for (std::size_t i = 0; i < f.connector.channels.size(); ++i)
    CHECK(f.TargetName(i) == "e1");
}
