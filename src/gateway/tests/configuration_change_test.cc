#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against requests that a new version of the configuration ends although
// their targets are sound: a request is served to its end by the version with
// which it began.

using namespace wist;

namespace {

struct changing_fixture : exchange_fixture {
  // Puts a new version into force.
  template <typename Change>
  void Apply(Change change) {
    routing_configuration next = latest_configuration.table()->configuration();
    next.version += 1;
    change(next);
    REQUIRE(latest_configuration.UpdateIfNewer(next, scheduler.Now()));
    selector.ApplyConfiguration(latest_configuration.table());
  }

  void StartStream() {
    SendStreamRequest();
    target_channel(0).Receive(StreamHead() + Event(1));
  }

  // Events come for longer than any time limit of the new version.
  void CheckStreamIsCompleted(std::size_t channel = 0, int first_event = 2) {
    for (int id = first_event; id < first_event + 8; ++id) {
      scheduler.Advance(milliseconds(400));
      target_channel(channel).Receive(Event(id));
    }
    target_channel(channel).Receive(std::string(LastChunk()));
    CHECK(response().ends_with("0\r\n\r\n"));
    CHECK(ResponseContains("id: " + std::to_string(first_event + 7) + "\n"));
  }
};

using change = std::function<void(routing_configuration&)>;

const std::vector<std::pair<std::string, change>>& Changes() {
  static const std::vector<std::pair<std::string, change>> changes = {
      {"all routes removed", [](auto& next) { next.routes.clear(); }},
      {"all services removed", [](auto& next) { next.services.clear(); }},
      {"routes, services and workspaces removed",
       [](auto& next) {
         next.routes.clear();
         next.services.clear();
         next.workspaces.clear();
       }},
      {"the key revoked",
       [](auto& next) { next.workspaces[0].valid_keys.clear(); }},
      {"services exchanged",
       [](auto& next) {
         for (route_spec& route : next.routes)
           route.services = {
               {service_id(route.services[0].service.text() == "desk"
                               ? "engines"
                               : "desk"),
                1}};
       }},
      {"kinds exchanged",
       [](auto& next) {
         for (route_spec& route : next.routes)
           route.kind = route.kind == call_kind::streaming
                            ? call_kind::idempotent
                            : call_kind::streaming;
       }},
      {"shorter timeouts",
       [](auto& next) {
         for (route_spec& route : next.routes) {
           route.timeout = milliseconds(100);
           route.first_byte_objective = milliseconds(10);
         }
       }},
      {"lower limits",
       [](auto& next) {
         next.limits = {16, 1, milliseconds(10), milliseconds(10)};
       }},
      {"no engine", [](auto& next) { next.services[0].engine.reset(); }},
      {"smaller engine memory",
       [](auto& next) {
         next.services[0].engine = engine_spec{1, 10, true, true, 1};
       }},
  };
  return changes;
}

}  // namespace

TEST_CASE("a stream is completed whatever a new version changes") {
  for (const auto& [name, apply] : Changes()) {
    INFO(name);
    changing_fixture f;
    f.StartStream();
    f.Apply(apply);
    f.CheckStreamIsCompleted();
  }
}

TEST_CASE("a stream without events is awaited whatever a new version changes") {
  for (const auto& [name, apply] : Changes()) {
    INFO(name);
    changing_fixture f;
    f.SendStreamRequest();
    f.Apply(apply);
    f.scheduler.Advance(milliseconds(1000));
    f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
    f.CheckStreamIsCompleted();
  }
}

TEST_CASE("a response is forwarded whatever a new version changes") {
  for (const auto& [name, apply] : Changes()) {
    INFO(name);
    changing_fixture f;
    f.SendRequest("/once/x");
    f.Apply(apply);
    f.scheduler.Advance(milliseconds(3000));
    f.target_channel(0).Receive(f.Response("200 OK", "whole"));
    CHECK(f.response().ends_with("whole"));
  }
}

TEST_CASE("a stream whose target leaves is completed under a new version") {
  for (const auto& [name, apply] : Changes()) {
    INFO(name);
    changing_fixture f;
    f.StartStream();
    f.Apply(apply);
    f.directory.Remove(target_id(f.TargetName(0)), std::nullopt,
                       f.scheduler.Now());
    // The copy is refused, or there is no receiver under the new version.
    if (f.connector.channels.size() > 1)
      f.target_channel().Receive(f.Response("404 Not Found", ""));
    f.CheckStreamIsCompleted();
  }
}

TEST_CASE("a move that is under way is completed under a new version") {
  for (const auto& [name, apply] : Changes()) {
    INFO(name);
    changing_fixture f;
    f.StartStream();
    f.directory.Remove(target_id(f.TargetName(0)), std::nullopt,
                       f.scheduler.Now());
    REQUIRE(f.connector.channels.size() == 2);
    f.Apply(apply);
    f.target_channel().Receive(f.Response("200 OK", "first"));
    f.ConfirmStop();
    const std::size_t continued = f.connector.channels.size() - 1;
    REQUIRE(f.target_channel().written.starts_with("POST /stream/"));
    f.target_channel().Receive(f.StreamHead());
    f.CheckStreamIsCompleted(continued);
  }
}

TEST_CASE("a stop that is under way is completed under a new version") {
  for (const auto& [name, apply] : Changes()) {
    INFO(name);
    changing_fixture f;
    f.StartStream();
    f.directory.Remove(target_id(f.TargetName(0)), std::nullopt,
                       f.scheduler.Now());
    f.target_channel().Receive(f.Response("200 OK", "first"));
    f.Apply(apply);
    f.ConfirmStop();
    const std::size_t continued = f.connector.channels.size() - 1;
    REQUIRE(f.target_channel().written.starts_with("POST /stream/"));
    f.target_channel().Receive(f.StreamHead());
    f.CheckStreamIsCompleted(continued);
  }
}

// An entry that expires and returns, and one that is written again with another
// sequence, leave the target in use.
TEST_CASE("a stream whose target seems removed for a moment is completed") {
  changing_fixture f;
  f.StartStream();
  const std::string source = f.TargetName(0);
  f.directory.Remove(target_id(source), std::nullopt, f.scheduler.Now());
  f.AddTarget(source, "engines");
  f.target_channel().Receive(f.Response("503 Full", ""));
  f.CheckStreamIsCompleted();
}

// Guards against channels that are closed while callers may still reuse them: a
// version that raises the limit also holds for channels that are idle already.
TEST_CASE("a higher idle limit takes effect on idle channels") {
  changing_fixture f;
  f.SendRequest("/once/x");
  f.target_channel(0).Receive(f.Response("200 OK", "a"));
  f.scheduler.Advance(milliseconds(10'000));
  f.Apply([](auto& next) { next.limits.idle_timeout = milliseconds(40'000); });
  f.scheduler.Advance(milliseconds(25'000));
  CHECK(f.caller_channel->open());
  f.scheduler.Advance(milliseconds(6000));
  CHECK_FALSE(f.caller_channel->open());
}

// Guards against requests that are refused by limits of an earlier version.
TEST_CASE("a higher limit for bodies takes effect on channels in use") {
  changing_fixture f;
  f.SendRequest("/once/x");
  f.target_channel(0).Receive(f.Response("200 OK", "a"));
  f.scheduler.Advance(milliseconds(1));
  f.Apply([](auto& next) { next.limits.max_body_bytes = 3'000'000; });
  f.caller_channel->Receive(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
      "Content-Length: 2000000\r\n\r\n" +
      std::string(2'000'000, 'x'));
  CHECK(f.caller_channel->open());
  CHECK(f.connection->IsBusy());
}

// A request that has begun to arrive was sent under the limits before.
TEST_CASE("lower limits do not refuse a request that is arriving") {
  changing_fixture f;
  f.caller_channel->Receive("POST /once/x HTTP/1.1\r\nHost: h\r\n");
  f.Apply([](auto& next) { next.limits.max_header_bytes = 16; });
  f.caller_channel->Receive("Id: r\r\nKey: k\r\nContent-Length: 2\r\n\r\nhi");
  CHECK(f.connection->IsBusy());
}
