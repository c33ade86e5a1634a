#include <catch2/catch.hpp>

#include <map>

#include "selection/target_selector.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

routing_configuration Configuration() {
  routing_configuration configuration;
  configuration.version = 1;
  routed_service engines;
  engines.id = service_id("engines");
  engines.max_cold_requests_per_second = 40;
  engines.engine = engine_spec{8, 10'000, true, true, 4};
  routed_service desk;
  desk.id = service_id("desk");
  configuration.services = {engines, desk};
  return configuration;
}

struct fixture {
  fixture() {
    selector.ApplyConfiguration(
        std::make_shared<const route_table>(Configuration()));
  }

  void AddTarget(const std::string& id,
                 const std::string& service = "engines",
                 const std::string& domain = "here",
                 milliseconds cold = milliseconds(0)) {
    target_entry entry;
    entry.id = target_id(id);
    entry.service = service_id(service);
    entry.domain = domain_id(domain);
    entry.slots = 8;
    entry.cold_remaining = cold;
    entry.sequence = 1;
    directory.Upsert(entry, At(0));
  }

  static selection_request Generation(std::int64_t tokens) {
    selection_request request;
    request.service = service_id("engines");
    request.size = generation_size{tokens / 2, tokens - tokens / 2};
    return request;
  }

  static selection_request PlainCall() {
    selection_request request;
    request.service = service_id("desk");
    return request;
  }

  std::string Choose(const selection_request& request, timestamp now = At(0)) {
    const selection chosen = selector.Choose(request, now);
    const auto* id = std::get_if<target_id>(&chosen);
    return id ? id->text() : "";
  }

  target_directory directory;
  target_selector selector{{domain_id("here")}, directory, 1};
};

}  // namespace

TEST_CASE("generations are placed by their expected memory use") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b");
  f.selector.BeginRun(target_id("a"), f.Generation(4000), At(0));
  for (int i = 0; i < 20; ++i)
    CHECK(f.Choose(f.Generation(1000)) == "b");
}

TEST_CASE("the load of other instances counts until it is reported as ended") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b");
  f.selector.SetOthersLoad({target_id("a"), 2, 8000, 0}, At(0));
  CHECK(f.Choose(f.Generation(3000), At(100)) == "b");
  f.selector.BeginRun(target_id("b"), f.Generation(7500), At(100));
  CHECK(f.Choose(f.Generation(3000), At(200)).empty());
  f.selector.SetOthersLoad({target_id("a"), 0, 0, 0}, At(0));
  CHECK(f.Choose(f.Generation(3000), At(300)) == "a");
}

TEST_CASE("a service at capacity is distinguished from one without targets") {
  fixture f;
  const selection none = f.selector.Choose(f.Generation(1000), At(0));
  CHECK_FALSE(std::get<selection_error>(none).targets_at_capacity);
  f.AddTarget("a");
  f.selector.BeginRun(target_id("a"), f.Generation(9000), At(0));
  const selection full = f.selector.Choose(f.Generation(1000), At(0));
  CHECK(std::get<selection_error>(full).targets_at_capacity);
}

TEST_CASE("a generation larger than the limit runs on an idle engine") {
  fixture f;
  f.AddTarget("a");
  CHECK(f.Choose(f.Generation(9900)) == "a");
}

TEST_CASE("a run that ends frees its memory") {
  fixture f;
  f.AddTarget("a");
  const run_number run =
      f.selector.BeginRun(target_id("a"), f.Generation(9000), At(0));
  f.selector.OnFirstOutput(run, At(100));
  CHECK(f.Choose(f.Generation(5000)).empty());
  f.selector.EndRun(run, run_end::completed, At(500));
  CHECK(f.Choose(f.Generation(5000)) == "a");
  CHECK(f.selector.OwnLoads(At(1000)).empty());
}

TEST_CASE("leaving and evacuated targets are not chosen") {
  fixture f;
  f.AddTarget("a", "engines", "there");
  f.directory.SetEvacuated({domain_id("there")});
  CHECK(f.Choose(f.Generation(100)).empty());
  f.directory.SetEvacuated({});
  CHECK(f.Choose(f.Generation(100)) == "a");
  f.directory.Remove(target_id("a"), std::nullopt, At(0));
  CHECK(f.Choose(f.Generation(100)).empty());
}

TEST_CASE("all instances together respect the request limit of a cold target") {
  constexpr int kInstances = 8;
  constexpr double kColdLimit = 40;
  int sent = 0;
  for (int instance = 0; instance < kInstances; ++instance) {
    fixture f;
    f.AddTarget("a", "engines", "here", milliseconds(5000));
    f.selector.SetInstanceCount(kInstances);
    while (!f.Choose(f.Generation(10)).empty()) {
      const run_number run =
          f.selector.BeginRun(target_id("a"), f.Generation(10), At(0));
      f.selector.EndRun(run, run_end::completed, At(0));
      ++sent;
    }
  }
  CHECK(sent <= kColdLimit);
  CHECK(sent >= kColdLimit / 2);
}

TEST_CASE("a target that fails its calls is not chosen over a healthy one") {
  fixture f;
  f.AddTarget("a", "desk");
  f.AddTarget("b", "desk");
  for (int i = 0; i < 4; ++i) {
    const run_number failed_run =
        f.selector.BeginRun(target_id("a"), f.PlainCall(), At(i));
    f.selector.EndRun(failed_run, run_end::failed, At(i + 10));
    const run_number completed_run =
        f.selector.BeginRun(target_id("b"), f.PlainCall(), At(i));
    f.selector.EndRun(completed_run, run_end::completed, At(i + 20));
  }
  for (int i = 0; i < 20; ++i)
    CHECK(f.Choose(f.PlainCall(), At(100)) == "b");
}

TEST_CASE("a slow target is not chosen over a fast one") {
  fixture f;
  f.AddTarget("a", "desk");
  f.AddTarget("b", "desk");
  for (int i = 0; i < 10; ++i) {
    f.selector.EndRun(f.selector.BeginRun(target_id("a"), f.PlainCall(), At(0)),
                      run_end::completed, At(120));
    f.selector.EndRun(f.selector.BeginRun(target_id("b"), f.PlainCall(), At(0)),
                      run_end::completed, At(15));
  }
  CHECK(f.Choose(f.PlainCall()) == "b");
}

TEST_CASE(
    "an unreachable target in cooldown is used only if it is the last one") {
  fixture f;
  f.AddTarget("a", "desk");
  f.AddTarget("b", "desk", "there");
  f.selector.EndRun(f.selector.BeginRun(target_id("a"), f.PlainCall(), At(0)),
                    run_end::unreachable, At(1));
  CHECK(f.Choose(f.PlainCall(), At(100)) == "b");
  selection_request only_a = f.PlainCall();
  only_a.excluded = {target_id("b")};
  CHECK(f.Choose(only_a, At(100)) == "a");
}

TEST_CASE("a session returns to the engine that last served it") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b");
  selection_request request = f.Generation(100);
  request.session = "s1";
  f.selector.EndRun(f.selector.BeginRun(target_id("b"), request, At(0)),
                    run_end::completed, At(1));
  for (int i = 0; i < 20; ++i)
    CHECK(f.Choose(request, At(100)) == "b");
}

// Guards against overload of the least loaded engine when many instances choose
// by the same loads before they receive each other's load reports.
TEST_CASE("many instances with the same information spread over the engines") {
  constexpr int kInstances = 80;
  constexpr int kEngines = 10;
  std::map<std::string, int> chosen;
  for (int instance = 0; instance < kInstances; ++instance) {
    target_directory directory;
    target_selector selector{{domain_id("here")},
                             directory,
                             static_cast<std::uint32_t>(instance + 1)};
    selector.ApplyConfiguration(
        std::make_shared<const route_table>(Configuration()));
    selector.SetInstanceCount(kInstances);
    for (int engine = 0; engine < kEngines; ++engine) {
      target_entry entry;
      entry.id = target_id("e" + std::to_string(engine));
      entry.service = service_id("engines");
      entry.domain = domain_id("here");
      entry.sequence = 1;
      directory.Upsert(entry, At(0));
      // Loads differ a little, as they do between any two engines.
      selector.SetOthersLoad({entry.id, 1, 1000 + 60 * engine, 0}, At(0));
    }
    const selection result = selector.Choose(fixture::Generation(500), At(1));
    ++chosen[std::get<target_id>(result).text()];
  }
  for (const auto& [id, count] : chosen)
    CHECK(count <= 3 * kInstances / kEngines);
}

TEST_CASE("a moved run is accepted where a new run would be refused") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b");
  f.selector.BeginRun(target_id("b"), f.Generation(8000), At(0));
  CHECK(f.Choose(f.Generation(2000)) == "a");
  const selection receiver =
      f.selector.ChooseReceiver(target_id("a"), f.Generation(2000), At(0));
  CHECK(std::get<target_id>(receiver) == target_id("b"));
  const selection none =
      f.selector.ChooseReceiver(target_id("a"), f.Generation(4000), At(0));
  CHECK(std::get<selection_error>(none).targets_at_capacity);
}

// Guards against accepting requests that would miss their objective in a burst
// of long prompts: a caller that is refused early still has time to retry.
TEST_CASE("an engine with too long a prefill backlog gets no new run") {
  fixture f;
  f.AddTarget("a");
  selection_request request = f.Generation(100);
  request.size = generation_size{2000, 0};
  request.first_output_objective = milliseconds(500);
  for (int start_ms = 0; start_ms < 100'000; start_ms += 1000) {
    const run_number run =
        f.selector.BeginRun(target_id("a"), request, At(start_ms));
    f.selector.OnFirstOutput(run, At(start_ms + 200));
    f.selector.EndRun(run, run_end::completed, At(start_ms + 300));
  }
  f.selector.BeginRun(target_id("a"), request, At(200'000));
  CHECK(f.Choose(request, At(200'001)) == "a");
  f.selector.BeginRun(target_id("a"), request, At(200'001));
  CHECK(f.Choose(request, At(200'002)).empty());
  request.first_output_objective = milliseconds(5000);
  CHECK(f.Choose(request, At(200'002)) == "a");
}

TEST_CASE("a continued run adds no prompt tokens to the prefill backlog") {
  fixture f;
  f.AddTarget("a");
  selection_request request = f.Generation(2000);
  request.continues_run = true;
  f.selector.BeginRun(target_id("a"), request, At(0));
  const std::vector<target_load> loads = f.selector.OwnLoads(At(1000));
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].pending_prefill_tokens == 0);
  CHECK(loads[0].tokens == 2000);
}

// Guards against backup copies displacing runs on engines that are nearly full.
TEST_CASE("no backup is chosen while the service is more than half full") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b", "engines", "there");
  f.AddTarget("c", "engines", "there");
  const selection_request small = f.Generation(500);
  f.selector.BeginRun(target_id("a"), f.Generation(8000), At(0));
  CHECK(f.selector.ChooseBackup(target_id("a"), small, At(0)));
  f.selector.BeginRun(target_id("c"), f.Generation(8000), At(0));
  CHECK_FALSE(f.selector.ChooseBackup(target_id("a"), small, At(0)));
}

// Guards against sending further runs to a failed engine that still accepts
// connections: it breaks each run at once and therefore appears idle. In test
// run trouble-3, on an enlarged Korrigan example site whose engines failed and
// recovered in turn, five of them broke 122 generations.
TEST_CASE(
    "an engine that breaks runs early cools down and is reported to peers") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b");
  f.selector.BeginRun(target_id("b"), f.Generation(5000), At(0));
  const run_number run =
      f.selector.BeginRun(target_id("a"), f.Generation(1000), At(0));
  f.selector.EndRun(run, run_end::broken, At(8));
  CHECK(f.Choose(f.Generation(1000), At(10)) == "b");
  bool is_reported = false;
  for (const target_load& load : f.selector.OwnLoads(At(10)))
    is_reported = is_reported || (load.target == target_id("a") &&
                                  load.failing_instances == 1);
  CHECK(is_reported);
  CHECK(f.Choose(f.Generation(1000), At(900)) == "b");
  CHECK(f.Choose(f.Generation(1000), At(1100)) == "a");
}

TEST_CASE("a target that two peers report as failing is not chosen") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b");
  f.selector.BeginRun(target_id("b"), f.Generation(5000), At(0));
  f.selector.SetOthersLoad({target_id("a"), 0, 0, 0, 1}, At(0));
  CHECK(f.Choose(f.Generation(1000), At(10)) == "a");
  f.selector.SetOthersLoad({target_id("a"), 0, 0, 0, 2}, At(0));
  CHECK(f.Choose(f.Generation(1000), At(20)) == "b");
  f.selector.SetOthersLoad({target_id("a"), 0, 0, 0, 1}, At(0));
  CHECK(f.Choose(f.Generation(1000), At(40)) == "a");
}

TEST_CASE("failing reports from peers never leave a request without a target") {
  fixture f;
  f.AddTarget("a");
  f.selector.SetOthersLoad({target_id("a"), 0, 0, 0, 2}, At(0));
  CHECK(f.Choose(f.Generation(1000), At(10)) == "a");
}

// Guards against refusals in a domain that is cut off. The targets behind the
// cut appear idle, since the loads of their callers are no longer reported, and
// each attempt to reach one fails. In a run on the large site (trouble-3), four
// such attempts ended in a refusal although the own domain had room.
TEST_CASE("a domain that seems to be cut off sends to its own targets") {
  fixture f;
  f.AddTarget("near");
  for (const char* id : {"far1", "far2", "far3"})
    f.AddTarget(id, "engines", "there");
  f.selector.BeginRun(target_id("near"), f.Generation(6000), At(0));
  CHECK(f.Choose(f.Generation(500), At(0)).starts_with("far"));
  const auto fail = [&](const std::string& id, std::int64_t ms) {
    const run_number run =
        f.selector.BeginRun(target_id(id), f.Generation(500), At(ms));
    f.selector.EndRun(run, run_end::unreachable, At(ms));
  };
  // One target may have crashed.
  fail("far1", 10);
  CHECK(f.Choose(f.Generation(500), At(20)).starts_with("far"));
  fail("far2", 30);
  CHECK(f.Choose(f.Generation(500), At(40)) == "near");
  CHECK(f.Choose(f.Generation(500), At(1009)) == "near");
  // The other side is tried again, and used where there is no room here.
  CHECK(f.Choose(f.Generation(500), At(1040)) == "far3");
  fail("far1", 2000);
  fail("far2", 2000);
  CHECK(f.Choose(f.Generation(4000), At(2010)) == "far3");
}

TEST_CASE("a request that failed across the border prefers its own domain") {
  fixture f;
  f.AddTarget("near");
  f.AddTarget("far", "engines", "there");
  f.AddTarget("near_desk", "desk");
  f.AddTarget("far_desk", "desk", "there");
  f.selector.BeginRun(target_id("near"), f.Generation(6000), At(0));
  selection_request request = f.Generation(500);
  CHECK(f.Choose(request) == "far");
  request.avoids_other_domains = true;
  CHECK(f.Choose(request) == "near");
  selection_request call;
  call.service = service_id("desk");
  for (int i = 0; i < 5; ++i)
    f.selector.BeginRun(target_id("near_desk"), call, At(0));
  CHECK(f.Choose(call) == "far_desk");
  call.avoids_other_domains = true;
  CHECK(f.Choose(call) == "near_desk");
}

// Guards against refusals after several engines ended without notice. They
// appear idle, so that each instance tries all of them before any other. In a
// run on the large site (trouble-3), 51 requests of one domain failed to
// connect to four such engines each.
TEST_CASE("a target that cannot be reached is reported to the peers") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b");
  const run_number run =
      f.selector.BeginRun(target_id("a"), f.Generation(1000), At(0));
  f.selector.EndRun(run, run_end::unreachable, At(1));
  const auto loads = f.selector.OwnLoads(At(2));
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].target == target_id("a"));
  CHECK(loads[0].failing_instances == 1);
  CHECK(f.selector.OwnLoads(At(5000)).empty());
}

// Until a prompt part is known to crash engines, some of its requests reach
// them. Each takes all runs of its engine along.
TEST_CASE("a suspect generation is placed where least is lost") {
  fixture f;
  f.AddTarget("busy");
  f.AddTarget("idle");
  f.AddTarget("cold", "engines", "here", milliseconds(5000));
  f.AddTarget("last", "engines", "there");
  selection_request suspect = f.Generation(1000);
  suspect.is_suspect = true;
  for (int i = 0; i < 3; ++i)
    f.selector.BeginRun(target_id("busy"), f.Generation(500), At(0));
  f.selector.BeginRun(target_id("idle"), f.Generation(3000), At(0));
  for (int i = 0; i < 20; ++i)
    CHECK(f.Choose(suspect) == "idle");
  // The last engine of a domain and one that warms up are taken if nothing else
  // is left.
  f.directory.Remove(target_id("idle"), std::nullopt, At(0));
  CHECK(f.Choose(suspect) == "busy");
  f.directory.Remove(target_id("busy"), std::nullopt, At(0));
  CHECK_FALSE(f.Choose(suspect).empty());
}

TEST_CASE("a target that asks for a pause gets no run before it ends") {
  fixture f;
  f.AddTarget("a");
  f.AddTarget("b");
  f.selector.OnPauseRequested(target_id("a"), At(2000));
  for (int ms = 0; ms < 2000; ms += 100)
    CHECK(f.Choose(f.Generation(500), At(ms)) == "b");
  CHECK_FALSE(
      f.selector.ChooseBackup(target_id("b"), f.Generation(500), At(0)));
  // It is the target's wish towards this instance only.
  CHECK(f.selector.OwnLoads(At(100)).empty());
}

// All targets request a pause at once, and callers return together.
TEST_CASE("while all targets pause callers are told when the first returns") {
  fixture f;
  for (const char* id : {"a", "b", "c"})
    f.AddTarget(id);
  f.selector.OnPauseRequested(target_id("a"), At(3000));
  f.selector.OnPauseRequested(target_id("b"), At(2000));
  f.selector.OnPauseRequested(target_id("c"), At(2500));
  const auto refused =
      std::get<selection_error>(f.selector.Choose(f.Generation(500), At(500)));
  CHECK_FALSE(refused.targets_at_capacity);
  CHECK(refused.retry_after == milliseconds(1500));
  CHECK(f.Choose(f.Generation(500), At(2000)) == "b");
}

TEST_CASE("runs return gradually after a pause") {
  fixture f;
  f.AddTarget("a", "desk");
  f.selector.OnPauseRequested(target_id("a"), At(1000));
  std::map<int, int> starts;
  for (int ms = 1000; ms < 4000; ms += 10) {
    if (f.Choose(f.PlainCall(), At(ms)).empty())
      continue;
    ++starts[ms / 1000];
    const run_number run =
        f.selector.BeginRun(target_id("a"), f.PlainCall(), At(ms));
    f.selector.EndRun(run, run_end::completed, At(ms + 1));
  }
  CHECK(starts[1] <= 5);
  CHECK(starts[1] >= 4);
  CHECK(starts[3] == 100);
}

// A process that was frozen continues after the end of the pause.
TEST_CASE("a pause ends while the process is frozen") {
  fixture f;
  f.AddTarget("a", "desk");
  f.selector.OnPauseRequested(target_id("a"), At(1000));
  CHECK(f.Choose(f.PlainCall(), At(60'000)) == "a");
}

TEST_CASE("the longer of two pauses holds") {
  fixture f;
  f.AddTarget("a", "desk");
  f.selector.OnPauseRequested(target_id("a"), At(5000));
  f.selector.OnPauseRequested(target_id("a"), At(1000));
  CHECK(f.Choose(f.PlainCall(), At(4000)).empty());
}

// Load: a burst of long, less urgent generations fills the engines' prompt
// queues and memory before short urgent ones arrive.
TEST_CASE("less urgent generations leave prompt time for urgent ones") {
  fixture f;
  f.AddTarget("a");
  selection_request patient = fixture::Generation(1000);
  patient.first_output_objective = milliseconds(4000);
  patient.urgent_objective = milliseconds(200);
  selection_request urgent = fixture::Generation(1000);
  urgent.first_output_objective = milliseconds(200);
  // An output after 50 ms shows that the engine reads 10 tokens in 1 ms.
  f.selector.OnFirstOutput(f.selector.BeginRun(target_id("a"), patient, At(0)),
                           At(50));
  for (int i = 0; i < 3; ++i)
    f.selector.BeginRun(target_id("a"), patient, At(50));
  CHECK(f.Choose(urgent) == "a");
  f.selector.BeginRun(target_id("a"), urgent, At(50));
  CHECK(f.Choose(patient).empty());
  patient.urgent_objective.reset();
  CHECK(f.Choose(patient) == "a");
}

TEST_CASE("less urgent generations leave memory for urgent ones") {
  fixture f;
  f.AddTarget("a");
  f.selector.BeginRun(target_id("a"), fixture::Generation(7500), At(0));
  selection_request request = fixture::Generation(1000);
  CHECK(f.Choose(request) == "a");
  request.urgent_objective = milliseconds(1500);
  CHECK(f.Choose(request).empty());
  request.continues_run = true;
  CHECK(f.Choose(request) == "a");
}
