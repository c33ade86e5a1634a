#include <catch2/catch.hpp>

#include <numeric>

#include "selection/brittle_targets.h"
#include "selection/target_selector.h"

// Guards against crowds at targets that fail if they have to refuse more
// requests in a second than they tolerate.

using namespace wist;

namespace {

const service_id kService{"desk"};

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

target_entry Entry(const std::string& id, std::int64_t started_at = 1) {
  target_entry entry;
  entry.id = target_id(id);
  entry.service = kService;
  entry.domain = domain_id("here");
  entry.slots = 4;
  entry.sequence = 1;
  entry.started_at = started_at;
  return entry;
}

brittle_load Load(int own_runs, int runs, int others_refusals = 0) {
  return {4, own_runs, runs, others_refusals};
}

}  // namespace

TEST_CASE("all instances together use the slots of a brittle target once") {
  brittle_targets targets;
  const target_entry entry = Entry("t");
  targets.OnStated(entry, 0, At(0));
  for (const std::size_t count : {1, 3, 4, 8, 300}) {
    int used = 0;
    for (std::size_t ordinal = 0; ordinal < count; ++ordinal) {
      int own = 0;
      // The reports of the others have not arrived.
      while (targets.AllowsOwnSlot(entry, Load(own, own), {count, ordinal},
                                   At(10)))
        ++own;
      used += own;
    }
    CHECK(used == 4);
  }
}

TEST_CASE("slots of others are used only while they are free") {
  brittle_targets targets;
  const target_entry entry = Entry("t");
  const fleet_position position{2, 0};
  CHECK(targets.FreeSlots(entry, Load(0, 1), position, At(0)) == 0);
  targets.OnStated(entry, 10, At(0));
  CHECK(targets.FreeSlots(entry, Load(0, 1), position, At(0)) == 3);
  CHECK(targets.FreeSlots(entry, Load(0, 4), position, At(0)) == 0);
  // Each known refusal leaves one slot more unused.
  CHECK(targets.FreeSlots(entry, Load(0, 1, 2), position, At(0)) == 1);
  // A target that tolerates few refusals keeps slots in reserve.
  targets.OnStated(entry, 1, At(0));
  CHECK(targets.FreeSlots(entry, Load(0, 0), position, At(0)) == 1);
  CHECK(targets.FreeSlots(entry, Load(0, 1), position, At(0)) == 0);
}

TEST_CASE("a target is left out once its share of refusals is used up") {
  brittle_targets targets;
  const target_entry entry = Entry("t");
  const fleet_position position{3, 0};
  targets.OnStated(entry, 6, At(0));
  for (const std::int64_t ms : {0, 10}) {
    CHECK_FALSE(targets.LeftOutUntil(entry, Load(0, 0), position, At(ms)));
    targets.OnRefusal(entry, At(ms));
  }
  CHECK(targets.LeftOutUntil(entry, Load(0, 0), position, At(30)));
  CHECK_FALSE(targets.AllowsOwnSlot(entry, Load(0, 0), position, At(30)));
  // The first refusal is older than a second then.
  CHECK_FALSE(targets.LeftOutUntil(entry, Load(0, 0), position, At(1000)));
}

TEST_CASE("refusals that other instances report count") {
  brittle_targets targets;
  const target_entry entry = Entry("t");
  const fleet_position position{8, 0};
  targets.OnStated(entry, 6, At(0));
  CHECK_FALSE(targets.LeftOutUntil(entry, Load(0, 0, 2), position, At(0)));
  CHECK(targets.LeftOutUntil(entry, Load(0, 0, 3), position, At(0)));
}

TEST_CASE(
    "with more instances than tolerated refusals one is used in seconds") {
  brittle_targets targets;
  const target_entry entry = Entry("t");
  const fleet_position position{40, 0};
  targets.OnStated(entry, 10, At(0));
  targets.OnRefusal(entry, At(0));
  const auto free_at = [&](std::int64_t ms) {
    targets.OnStated(entry, 10, At(ms));
    return targets.FreeSlots(entry, Load(0, 0), position, At(ms)) > 0;
  };
  CHECK_FALSE(free_at(1500));
  CHECK_FALSE(free_at(3900));
  CHECK(free_at(4100));
}

TEST_CASE("a service is brittle until no response states it for some time") {
  brittle_targets targets;
  CHECK(targets.OnStated(Entry("t"), 3, At(0)));
  CHECK_FALSE(targets.OnStated(Entry("u"), 3, At(1000)));
  CHECK(targets.IsBrittle(kService, At(3500)));
  CHECK_FALSE(targets.IsBrittle(kService, At(4100)));
  CHECK_FALSE(targets.IsBrittle(service_id("other"), At(1000)));
  CHECK(targets.OnStated(Entry("t"), 3, At(5000)));
}

TEST_CASE("a service is brittle while others report that it is stated") {
  brittle_targets targets;
  targets.SetStatedToOthers(Entry("t"), true, At(0));
  CHECK(targets.IsBrittle(kService, At(60'000)));
  // Nothing is tolerated before this instance receives the number.
  CHECK(targets.LeftOutUntil(Entry("t"), Load(0, 0, 1), {8, 0}, At(60'000)));
  targets.SetStatedToOthers(Entry("t"), false, At(60'000));
  CHECK(targets.IsBrittle(kService, At(60'100)));
  CHECK_FALSE(targets.IsBrittle(kService, At(63'100)));
}

TEST_CASE("a restart of a target ends what it stated") {
  brittle_targets targets;
  targets.OnStated(Entry("t", 1), 0, At(0));
  targets.OnRefusal(Entry("t", 1), At(0));
  targets.OnStated(Entry("t", 2), 8, At(100));
  CHECK(targets.RecentRefusals(target_id("t"), At(100)) == 0);
  CHECK_FALSE(targets.LeftOutUntil(Entry("t", 2), Load(0, 0), {1, 0}, At(100)));
}

TEST_CASE("a target that is not brittle has no limit") {
  target_directory directory;
  target_selector selector({domain_id("here")}, directory, 1);
  routing_configuration configuration;
  configuration.version = 1;
  routed_service service;
  service.id = kService;
  configuration.services = {service};
  selector.ApplyConfiguration(
      std::make_shared<const route_table>(configuration));
  const target_entry entry = Entry("t");
  directory.Upsert(entry, At(0));
  selection_request request;
  request.service = kService;
  for (int i = 0; i < 10; ++i)
    selector.BeginRun(entry.id, request, At(0));
  CHECK(std::holds_alternative<target_id>(selector.Choose(request, At(0))));
  selector.OnBrittleStated(entry, 3, At(0));
  const selection chosen = selector.Choose(request, At(0));
  REQUIRE(std::holds_alternative<selection_error>(chosen));
  CHECK(std::get<selection_error>(chosen).targets_at_capacity);
}

TEST_CASE("callers are refused with the time for which targets are left out") {
  target_directory directory;
  target_selector selector({domain_id("here")}, directory, 1);
  routing_configuration configuration;
  configuration.version = 1;
  routed_service service;
  service.id = kService;
  configuration.services = {service};
  selector.ApplyConfiguration(
      std::make_shared<const route_table>(configuration));
  const target_entry entry = Entry("t");
  directory.Upsert(entry, At(0));
  selection_request request;
  request.service = kService;
  selector.OnBrittleStated(entry, 1, At(0));
  selector.OnRefusedForRoom(entry, At(0));
  const selection chosen = selector.Choose(request, At(100));
  REQUIRE(std::holds_alternative<selection_error>(chosen));
  CHECK_FALSE(std::get<selection_error>(chosen).targets_at_capacity);
  CHECK(std::get<selection_error>(chosen).retry_after >= milliseconds(900));
  CHECK(std::holds_alternative<target_id>(selector.Choose(request, At(1100))));
}

TEST_CASE("refusals and statements are reported for a second") {
  target_directory directory;
  target_selector selector({domain_id("here")}, directory, 1);
  const target_entry entry = Entry("t");
  directory.Upsert(entry, At(0));
  const run_number run = selector.BeginRun(entry.id, {kService}, At(0));
  selector.OnBrittleStated(entry, 3, At(0));
  selector.OnRefusedForRoom(entry, At(0));
  selector.EndRun(run, run_end::rejected, At(0));
  REQUIRE(selector.OwnLoads(At(900)).size() == 1);
  CHECK(selector.OwnLoads(At(900))[0].recent_refusals == 1);
  CHECK(selector.OwnLoads(At(900))[0].brittle_instances == 1);
  CHECK(selector.OwnLoads(At(1000)).empty());
}

TEST_CASE("what targets state to others limits this instance too") {
  target_directory directory;
  target_selector selector({domain_id("here")}, directory, 1);
  const target_entry entry = Entry("t");
  directory.Upsert(entry, At(0));
  target_load others{entry.id};
  others.brittle_instances = 1;
  selector.SetOthersLoad(others, At(0));
  CHECK(selector.IsBrittle(kService, At(60'000)));
}

TEST_CASE("a run that continues may use any slot of a brittle target") {
  target_directory directory;
  target_selector selector({domain_id("here")}, directory, 1);
  routing_configuration configuration;
  configuration.version = 1;
  routed_service service;
  service.id = kService;
  service.engine = engine_spec{4, 27'000, true, true, 4};
  configuration.services = {service};
  selector.ApplyConfiguration(
      std::make_shared<const route_table>(configuration));
  const target_entry entry = Entry("t");
  directory.Upsert(entry, At(0));
  selector.OnBrittleStated(entry, 0, At(0));
  selection_request request;
  request.service = kService;
  request.size = generation_size{100, 10};
  int served = 0;
  for (std::size_t ordinal = 0; ordinal < 8; ++ordinal) {
    selector.SetPosition({8, ordinal});
    served +=
        std::holds_alternative<target_id>(selector.Choose(request, At(0)));
    CHECK(std::holds_alternative<target_id>(
        selector.ChooseReceiver(target_id("other"), request, At(0))));
  }
  CHECK(served == 4);
}

// Guards against falls of targets that tolerate less than at an earlier time.
TEST_CASE("the number of an earlier time does not apply to a later one") {
  brittle_targets targets;
  targets.OnStated(Entry("t"), 50, At(0));
  REQUIRE_FALSE(targets.IsBrittle(kService, At(60'000)));
  targets.SetStatedToOthers(Entry("t"), true, At(60'000));
  const brittle_load load = Load(0, 0, 2);
  CHECK(targets.LeftOutUntil(Entry("t"), load, {8, 0}, At(60'000)));
  targets.OnStated(Entry("u"), 2, At(60'000));
  CHECK(targets.LeftOutUntil(Entry("t"), load, {8, 0}, At(60'000)));
  targets.OnStated(Entry("t"), 50, At(60'010));
  CHECK_FALSE(targets.LeftOutUntil(Entry("t"), load, {8, 0}, At(60'010)));
}
