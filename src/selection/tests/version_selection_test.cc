#include <catch2/catch.hpp>

#include <set>

#include "selection/target_selector.h"

using namespace wist;

namespace {

struct fixture {
  fixture() {
    routing_configuration configuration;
    configuration.version = 1;
    routed_service engines;
    engines.id = service_id("engines");
    engines.engine = engine_spec{8, 10'000, true, true, 4};
    configuration.services = {engines};
    selector.ApplyConfiguration(
        std::make_shared<const route_table>(configuration));
    AddTarget("old-1", "v1", "here");
    AddTarget("old-2", "v1", "there");
    AddTarget("new-1", "v2", "here");
    AddTarget("new-2", "v2", "there");
  }

  void AddTarget(const std::string& id,
                 const std::string& version,
                 const std::string& domain) {
    target_entry entry;
    entry.id = target_id(id);
    entry.service = service_id("engines");
    entry.domain = domain_id(domain);
    entry.slots = 8;
    entry.sequence = 1;
    entry.version = version;
    directory.Upsert(entry, now);
  }

  static selection_request Generation(version_constraint versions,
                                      std::int64_t tokens = 1000) {
    selection_request request;
    request.service = service_id("engines");
    request.size = generation_size{tokens / 2, tokens - tokens / 2};
    request.versions = std::move(versions);
    return request;
  }

  // Targets chosen while the load on them grows.
  std::set<std::string> Chosen(const selection_request& request) {
    std::set<std::string> chosen;
    for (int i = 0; i < 12; ++i) {
      const selection result = selector.Choose(request, now);
      if (const auto* id = std::get_if<target_id>(&result)) {
        chosen.insert(id->text());
        selector.BeginRun(*id, request, now);
      }
    }
    return chosen;
  }

  const timestamp now{milliseconds(1000)};
  target_directory directory;
  target_selector selector{{domain_id("here")}, directory, 1};
};

}  // namespace

// Guards against a request on a version of the software that it must not use.
TEST_CASE("a request stays on the versions that it may use") {
  SECTION("one version is required") {
    fixture f;
    CHECK(f.Chosen(f.Generation({"v2", {}})) ==
          std::set<std::string>{"new-1", "new-2"});
  }
  SECTION("a version is forbidden") {
    fixture f;
    CHECK(f.Chosen(f.Generation({std::nullopt, {"v2"}})) ==
          std::set<std::string>{"old-1", "old-2"});
  }
  SECTION("no version is excluded") {
    fixture f;
    CHECK(f.Chosen(f.Generation({})).size() == 4);
  }
}

// Guards against a fall-back inside the selector: only the caller of the
// selector decides whether another version may run the request.
TEST_CASE("a request is refused while its versions are at capacity") {
  fixture f;
  for (const char* id : {"old-1", "old-2"})
    f.selector.BeginRun(target_id(id), f.Generation({}, 9000), f.now);
  const selection chosen =
      f.selector.Choose(f.Generation({std::nullopt, {"v2"}}, 2000), f.now);
  REQUIRE(std::holds_alternative<selection_error>(chosen));
  CHECK(std::get<selection_error>(chosen).targets_at_capacity);
  const selection none = f.selector.Choose(f.Generation({"v3", {}}), f.now);
  CHECK_FALSE(std::get<selection_error>(none).targets_at_capacity);
}

// A session prefers its engine, and a run that moves one that is near. Neither
// outweighs the versions.
TEST_CASE("sessions, moves and backups keep to the versions of the request") {
  fixture f;
  selection_request request = f.Generation({});
  request.session = "s";
  f.selector.BeginRun(target_id("new-1"), request, f.now);
  request.versions.forbidden = {"v2"};
  CHECK(f.Chosen(request) == std::set<std::string>{"old-1", "old-2"});
  const selection receiver =
      f.selector.ChooseReceiver(target_id("old-1"), request, f.now);
  CHECK(std::get<target_id>(receiver) == target_id("old-2"));
  // The only engine of that version in the other domain.
  request.size = generation_size{50, 50};
  CHECK(f.selector.ChooseBackup(target_id("new-1"), request, f.now) ==
        std::nullopt);
}
