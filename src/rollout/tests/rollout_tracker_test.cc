#include <catch2/catch.hpp>
#include <limits>
#include <variant>

#include "rollout/exposure.h"
#include "rollout/rollout_tracker.h"

using namespace wist;

namespace {

const service_id kService("s");
const service_id kOther("t");
constexpr double kDurationS = 12;

rollout_time At(std::int64_t ms) {
  return {timestamp(milliseconds(100000 + ms)),
          calendar_time(milliseconds(5000000 + ms))};
}

rollout_target Target(const service_id& service, const version_name& version) {
  return {target_id(service.text() + version), service, version, domain_id("d"),
          version == "v1" ? 1 : 2};
}

// One instance that decides, and the store.
struct instance {
  instance() {
    tracker.SetServices({kService, kOther});
    tracker.SetTargets({Target(kService, "v1"), Target(kService, "v2"),
                        Target(kOther, "v1"), Target(kOther, "v2")});
    Advance(-3000);
  }

  void Request(std::int64_t ms,
               std::int64_t revision,
               const version_name& target = "v2",
               double duration_s = kDurationS,
               const service_id& service = kService) {
    tracker.OnRequest(service, rollout_request{service, target, duration_s},
                      revision, At(ms));
  }

  std::vector<service_event> Advance(std::int64_t ms) {
    return tracker.Advance(At(ms));
  }

  // Responses of this instance; those of the new version are bad if
  // `new_is_bad`.
  void Respond(int count, bool new_is_bad = false) {
    const response_sample good{false, milliseconds(20)};
    const response_sample bad{true, std::nullopt};
    for (int i = 0; i < count; ++i) {
      tracker.OnResponse(kService, {1, 1}, "v1", good);
      if (i % 10 == 0)
        tracker.OnResponse(kService, {1, 1}, "v2", new_is_bad ? bad : good);
    }
  }

  void Report(std::int64_t ms,
              std::uint64_t unfinished = 0,
              bool found_bad = false) {
    for (const rollout_id& id : tracker.ActiveRollouts())
      tracker.SetFleetReport(id, {{}, unfinished, At(ms).now, found_bad});
  }

  // Runs until `to_ms` and executes all status writes. Returns the last one.
  std::optional<rollout_status> Run(std::int64_t from_ms,
                                    std::int64_t to_ms,
                                    bool new_is_bad = false) {
    std::optional<rollout_status> last;
    for (std::int64_t ms = from_ms; ms <= to_ms; ms += 100) {
      Respond(10, new_is_bad);
      Report(ms);
      Advance(ms);
      for (const status_write& write : tracker.TakeWrites(At(ms))) {
        last = write.status;
        tracker.OnStatus(write.service, write.status, ++revision);
        Advance(ms);
      }
    }
    return last;
  }

  const version_rule& Rule(const service_id& service = kService) const {
    return tracker.ViewOf(service).rule;
  }

  rollout_tracker tracker{rollout_settings{}};
  std::int64_t revision = 100;
};

template <typename Event>
std::vector<Event> Only(const std::vector<service_event>& events) {
  std::vector<Event> found;
  for (const service_event& event : events) {
    if (const auto* match = std::get_if<Event>(&event.event))
      found.push_back(*match);
  }
  return found;
}

std::optional<invalid_request> Rejection(instance& checked, std::int64_t ms) {
  const auto rejected = Only<request_rejected>(checked.Advance(ms));
  return rejected.empty() ? std::nullopt : std::optional(rejected[0].reason);
}

}  // namespace

// Guards against a version that is used before any request permits it.
TEST_CASE("a version that registers beside another one is withheld") {
  instance observed;
  CHECK(observed.Rule().phase == rollout_phase::none);
  const version_choice choice = ChooseVersion(observed.Rule(), 0);
  CHECK(Permits(observed.Rule(), choice, "v1"));
  CHECK_FALSE(Permits(observed.Rule(), choice, "v2"));
}

// Guards against a service without targets after an operator has replaced all
// of them without a roll-out request.
TEST_CASE("a version that replaces all others is used") {
  instance observed;
  observed.tracker.SetTargets({Target(kService, "v2")});
  observed.Advance(10'000);
  const version_choice choice = ChooseVersion(observed.Rule(), 0);
  CHECK(Permits(observed.Rule(), choice, "v2"));
}

// Guards against requests that change sides when they are retried or moved,
// and against old requests on the new version.
TEST_CASE("a draw keeps its side in the canary phase") {
  version_rule rule{rollout_phase::canary, "v2", 0.08, {}};
  for (const double draw : {0.0, 0.05, 0.0799}) {
    CHECK(ChooseVersion(rule, draw) == version_choice::prefer_new);
    CHECK(Permits(rule, ChooseVersion(rule, draw), "v1"));
    CHECK_FALSE(Prefers(rule, ChooseVersion(rule, draw), "v1"));
  }
  for (const double draw : {0.08, 0.5, 0.999}) {
    CHECK(ChooseVersion(rule, draw) == version_choice::only_old);
    CHECK_FALSE(Permits(rule, ChooseVersion(rule, draw), "v2"));
  }
}

TEST_CASE("a good version gets a share, all traffic, and succeeds in time") {
  instance decider;
  decider.Request(0, 1);
  CHECK(Only<request_accepted>(decider.Advance(0)).size() == 1);
  CHECK(decider.Rule().phase == rollout_phase::canary);
  CHECK(decider.Rule().share == Approx(0.08));
  // It may still send requests to old targets.
  CHECK(decider.tracker.ViewOf(kService).unfinished_here == 1);
  const auto status = decider.Run(0, 7000);
  REQUIRE(status);
  CHECK(status->stage == rollout_stage::canary);
  CHECK(status->started_at == At(0).calendar);
  const auto decided = decider.Run(7100, 11900);
  REQUIRE(decided);
  CHECK(decided->state == rollout_state::succeeded);
  CHECK(decided->target == "v2");
  CHECK(decider.Rule().phase == rollout_phase::only_new);
}

// Guards against `succeeded` while old targets, which stop at once then, still
// have runs.
TEST_CASE("success waits for the runs on old targets of all instances") {
  instance decider;
  decider.Request(0, 1);
  decider.Run(0, 9500);
  REQUIRE(decider.Rule().phase == rollout_phase::only_new);
  CHECK(decider.tracker.ViewOf(kService).move == runs_to_move::on_old);
  const auto has_write_at = [&decider](std::int64_t ms) {
    decider.Respond(10);
    decider.Advance(ms);
    return !decider.tracker.TakeWrites(At(ms)).empty();
  };
  decider.Report(12000, 1);
  CHECK_FALSE(has_write_at(12000));
  decider.Report(13000);
  decider.tracker.SetOpenRuns(kService, {{"v1", 1}, {"v2", 3}});
  CHECK_FALSE(has_write_at(13000));
  CHECK(decider.tracker.ViewOf(kService).unfinished_here == 1);
  decider.tracker.SetOpenRuns(kService, {{"v2", 3}});
  // The report of an instance is missing.
  decider.tracker.SetFleetReport(decider.tracker.ActiveRollouts().at(0),
                                 {{}, std::nullopt, At(14000).now});
  CHECK_FALSE(has_write_at(14000));
  // All reports are from before the shift.
  decider.Report(8000);
  CHECK_FALSE(has_write_at(15000));
  decider.Report(16000);
  CHECK(has_write_at(16000));
}

// Guards against a shift to a version that has no targets left.
TEST_CASE("a version without targets gets no traffic and does not succeed") {
  instance decider;
  decider.Request(0, 1);
  decider.Run(0, 9500);
  REQUIRE(decider.Rule().phase == rollout_phase::only_new);
  std::vector<rollout_target> targets = {Target(kService, "v1"),
                                         Target(kService, "v2")};
  targets[1].accepts_work = false;
  decider.tracker.SetTargets(targets);
  decider.Advance(9600);
  CHECK(decider.Rule().phase == rollout_phase::only_old);
  CHECK(decider.tracker.ViewOf(kService).unfinished_here == 1);
  const auto decided = decider.Run(9700, 12100);
  REQUIRE(decided);
  CHECK(decided->state == rollout_state::rolled_back);
}

// Guards against instances that go on with a version that they found bad.
TEST_CASE("a bad verdict takes effect without the store and is final") {
  instance observed;
  observed.Request(0, 1);
  observed.Advance(0);
  observed.tracker.SetStoreReachable(false);
  observed.Respond(100);
  std::vector<service_event> events;
  for (std::int64_t ms = 100; ms < 6000 && events.empty(); ms += 100) {
    observed.Respond(20, true);
    events = observed.Advance(ms);
  }
  REQUIRE(Only<verdict_reached>(events).size() == 1);
  CHECK(Only<verdict_reached>(events)[0].verdict.reason ==
        bad_reason::failures);
  CHECK(observed.Rule().phase == rollout_phase::only_old);
  CHECK(observed.tracker.ViewOf(kService).move == runs_to_move::on_new);
  CHECK(observed.tracker.TakeWrites(At(6000)).empty());
  observed.Respond(1000);
  observed.Advance(7000);
  CHECK(observed.Rule().phase == rollout_phase::only_old);
  // A status that still says `running` does not change that.
  observed.tracker.OnStatus(kService,
                            {rollout_state::running, "v2", 1, At(0).calendar,
                             kDurationS, rollout_stage::shift},
                            50);
  observed.Advance(7100);
  CHECK(observed.Rule().phase == rollout_phase::only_old);
  observed.tracker.SetStoreReachable(true);
  const auto writes = observed.tracker.TakeWrites(At(7200));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].status.state == rollout_state::rolled_back);
  CHECK(writes[0].request_revision == 1);
  CHECK(writes[0].status_revision == 50);
}

// Guards against a verdict that is lost with the decider, or of which the
// deciders never learn.
TEST_CASE("the verdict of any instance leads to the rollback") {
  instance decider;
  decider.Request(0, 1);
  decider.Run(0, 1000);
  decider.Report(1100, 1, true);
  decider.Advance(1100);
  const auto writes = decider.tracker.TakeWrites(At(1100));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].status.state == rollout_state::rolled_back);
}

TEST_CASE("too few responses at the deadline lead to the rollback") {
  instance decider;
  decider.Request(0, 1);
  for (std::int64_t ms = 0; ms < 12000; ms += 100) {
    decider.Advance(ms);
    for (const status_write& write : decider.tracker.TakeWrites(At(ms))) {
      CHECK(write.status.state == rollout_state::running);
      CHECK(write.status.stage == rollout_stage::canary);
      decider.tracker.OnStatus(kService, write.status, ++decider.revision);
    }
  }
  decider.Advance(12000);
  const auto writes = decider.tracker.TakeWrites(At(12000));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].status.state == rollout_state::rolled_back);
}

// Guards against a reverted decision.
TEST_CASE("a final status is kept") {
  instance decider;
  decider.Request(0, 1);
  decider.Run(0, 500);
  rollout_status final_status{rollout_state::rolled_back, "v2", 1};
  final_status.old_versions = {"v1"};
  decider.tracker.OnStatus(kService, final_status, 500);
  decider.Advance(600);
  CHECK(decider.Rule().phase == rollout_phase::only_old);
  CHECK_FALSE(decider.tracker.ViewOf(kService).active);
  CHECK_FALSE(decider.Run(700, 20000));
  // If its key is removed, it is written again.
  decider.tracker.OnStatusMissing(kService, 0);
  decider.Advance(20100);
  const auto writes = decider.tracker.TakeWrites(At(20100));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].status == final_status);
  CHECK(writes[0].status_revision == 0);
}

TEST_CASE("each invalid request is reported once, with value and bound") {
  instance observed;
  std::int64_t revision = 10;
  const auto reject = [&](const decoded_rollout_request& request,
                          const service_id& service = kService) {
    observed.tracker.OnRequest(service, request, ++revision, At(0));
    const auto at_once = Rejection(observed, 0);
    const auto later = Rejection(observed, 3000);
    CHECK_FALSE((at_once && later));
    CHECK_FALSE(Rejection(observed, 6000));
    CHECK(observed.Rule(service).phase == rollout_phase::none);
    CHECK(observed.tracker.TakeWrites(At(6000)).empty());
    const auto reason = at_once ? at_once : later;
    REQUIRE(reason);
    CHECK_FALSE(reason->item.empty());
    CHECK_FALSE(reason->bound.empty());
    observed.tracker.OnRequestRemoved(service);
    observed.Advance(6100);
    return reason->error;
  };
  CHECK(reject(malformed_rollout_request{"{"}) ==
        rollout_request_error::malformed);
  CHECK(reject(rollout_request{kOther, "v2", 12}) ==
        rollout_request_error::wrong_service);
  const service_id unknown("u");
  CHECK(reject(rollout_request{unknown, "v2", 12}, unknown) ==
        rollout_request_error::unknown_service);
  for (const double duration_s :
       {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()}) {
    CHECK(reject(rollout_request{kService, "v2", duration_s}) ==
          rollout_request_error::duration_not_positive);
  }
  CHECK(reject(rollout_request{kService, "v2", 86401}) ==
        rollout_request_error::duration_too_long);
  CHECK(reject(rollout_request{kService, "v3", 12}) ==
        rollout_request_error::no_target_of_version);
  CHECK(reject(rollout_request{kService, "v1", 12}) ==
        rollout_request_error::only_version);
  std::vector<rollout_target> targets = {Target(kService, "v1"),
                                         Target(kService, "v2")};
  for (rollout_target& target : targets)
    target.evacuated = true;
  observed.tracker.SetTargets(targets);
  CHECK(reject(rollout_request{kService, "v2", 12}) ==
        rollout_request_error::all_domains_evacuated);
  observed.tracker.SetTargets({Target(kService, "v1")});
  CHECK(reject(rollout_request{kService, "v1", 12}) ==
        rollout_request_error::only_version);
}

// Guards against a roll-out that never starts because its request arrived
// before its targets.
TEST_CASE("a request waits for targets of its version") {
  instance observed;
  observed.tracker.SetTargets({Target(kService, "v1")});
  observed.Request(0, 1);
  observed.Advance(0);
  CHECK(observed.Rule().phase == rollout_phase::none);
  observed.tracker.SetTargets({Target(kService, "v1"), Target(kService, "v2")});
  CHECK(Only<request_rejected>(observed.Advance(1000)).empty());
  CHECK(observed.Rule().phase == rollout_phase::canary);
}

TEST_CASE("a second request replaces a running one") {
  instance decider;
  decider.Request(0, 1);
  decider.Run(0, 5000);
  decider.tracker.SetTargets(
      {Target(kService, "v1"), Target(kService, "v2"), Target(kService, "v3")});
  decider.Request(5100, 200, "v3");
  const auto ended = Only<request_ended>(decider.Advance(5100));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].replaced);
  CHECK(decider.Rule().target == "v3");
  CHECK(decider.Rule().share == Approx(0.08));
  CHECK(decider.Rule().withheld.contains("v2"));
  const auto writes = decider.tracker.TakeWrites(At(5200));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].request_revision == 200);
  CHECK(writes[0].status.target == "v3");
  CHECK(writes[0].status.started_at == At(5100).calendar);
  CHECK(writes[0].status.old_versions == std::set<version_name>{"v1"});
}

TEST_CASE("an invalid second request leaves the running one as it is") {
  instance decider;
  decider.Request(0, 1);
  decider.Run(0, 5000);
  decider.Request(5100, 200, "v2", 0);
  CHECK(Only<request_rejected>(decider.Advance(5100)).size() == 1);
  CHECK(decider.Rule().phase == rollout_phase::canary);
  const auto decided = decider.Run(5200, 12000);
  REQUIRE(decided);
  CHECK(decided->state == rollout_state::succeeded);
}

// Guards against a deadline that moves, and against a second decision.
TEST_CASE("the same request written again continues the running roll-out") {
  instance decider;
  decider.Request(0, 1);
  decider.Run(0, 6000);
  decider.Request(6100, 200);
  CHECK(Only<request_accepted>(decider.Advance(6100)).empty());
  const auto decided = decider.Run(6200, 11900);
  REQUIRE(decided);
  CHECK(decided->state == rollout_state::succeeded);
  CHECK(decided->request_revision == 200);
  CHECK_FALSE(decider.Run(12000, 14000));
}

TEST_CASE("the same request written after its rollback starts a new one") {
  instance decider;
  decider.Request(0, 1);
  REQUIRE(decider.Run(0, 8000, true)->state == rollout_state::rolled_back);
  CHECK(decider.Rule().phase == rollout_phase::only_old);
  decider.Request(8100, 300);
  CHECK(Only<request_accepted>(decider.Advance(8100)).size() == 1);
  CHECK(decider.Rule().phase == rollout_phase::canary);
}

TEST_CASE("a removed request is rolled back") {
  instance decider;
  decider.Request(0, 1);
  decider.Run(0, 9500);
  REQUIRE(decider.Rule().phase == rollout_phase::only_new);
  decider.tracker.OnRequestRemoved(kService);
  const auto ended = Only<request_ended>(decider.Advance(9600));
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(ended[0].replaced);
  CHECK(decider.Rule().phase == rollout_phase::only_old);
  const auto writes = decider.tracker.TakeWrites(At(9600));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].status.state == rollout_state::rolled_back);
  CHECK(writes[0].request_revision == 0);
}

TEST_CASE("roll-outs of two services do not affect each other") {
  instance decider;
  decider.Request(0, 1);
  decider.Request(0, 2, "v2", kDurationS, kOther);
  decider.Run(0, 8000, true);
  CHECK(decider.Rule().phase == rollout_phase::only_old);
  CHECK(decider.Rule(kOther).phase == rollout_phase::canary);
  CHECK(decider.tracker.ActiveRollouts().size() == 1);
}

// Guards against a roll-out that starts over, or skips its canary, when an
// instance restarts or reads a snapshot after a loss of history.
TEST_CASE("a snapshot continues the roll-out from its status") {
  instance started;
  const rollout_status running{
      rollout_state::running, "v2", 1,     At(-8000).calendar, kDurationS,
      rollout_stage::canary,  0.08, {"v1"}};
  SECTION("running") {
    started.tracker.OnStatus(kService, running, 5);
    started.Request(0, 1);
    started.Advance(0);
    CHECK(started.Rule().phase == rollout_phase::canary);
    // Four seconds are left: the samples become too few when they are over.
    CHECK(started.tracker.TakeWrites(At(0)).empty());
    started.Advance(4000);
    const auto writes = started.tracker.TakeWrites(At(4000));
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].status.state == rollout_state::rolled_back);
  }
  SECTION("in the shift") {
    rollout_status shift = running;
    shift.stage = rollout_stage::shift;
    started.Request(0, 1);
    started.tracker.OnStatus(kService, shift, 5);
    started.Advance(0);
    CHECK(started.Rule().phase == rollout_phase::only_new);
  }
  SECTION("decided") {
    rollout_status decided = running;
    decided.state = rollout_state::rolled_back;
    started.Request(0, 1);
    started.tracker.OnStatus(kService, decided, 5);
    started.Advance(0);
    CHECK(started.Rule().phase == rollout_phase::only_old);
    CHECK(started.tracker.TakeWrites(At(0)).empty());
  }
  SECTION("without its request") {
    started.tracker.OnStatus(kService, running, 5);
    started.Advance(0);
    CHECK(started.Rule().phase == rollout_phase::only_old);
  }
}
