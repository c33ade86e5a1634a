#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against requests to targets that stated in a response that they are
// leaving, while the store still calls them ready, to targets that turned a
// request away and requested a pause, and to brittle targets without room.

using namespace wist;

namespace {

// Sends another request on a new connection and returns the name of the target
// that it reaches; empty if none.
std::string NextTarget(exchange_fixture& f, const std::string& path) {
  const std::size_t channels = f.connector.channels.size();
  f.caller_channel = std::make_shared<scripted_channel>();
  f.connection = std::make_shared<caller_connection>(
      f.services, f.caller_channel, [](caller_connection*) {});
  f.connection->Start();
  f.SendRequest(path);
  return f.connector.channels.size() > channels ? f.TargetName(channels) : "";
}

const std::string kSignedAndLeaving = "Signed: 1\r\nLeaving: 1\r\n";
const std::string kPause = "Not-Run: 1\r\nPause: 2000\r\n";

}  // namespace

TEST_CASE("a target that says it is leaving gets no more requests") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  const std::string left = f.TargetName(0);
  f.target_channel().Receive(f.Response("200 OK", "done", kSignedAndLeaving));
  CHECK(f.ResponseContains("done"));
  CHECK(f.logger.LastField("target_states_leaving", "target") == left);
  for (int i = 0; i < 20; ++i) {
    // Its entry in the store states that it is ready.
    f.AddTarget(left, "desk");
    CHECK(NextTarget(f, "/once/x") != left);
    f.target_channel().Receive(f.Response("200 OK", "done"));
  }
}

TEST_CASE("streams of a target that says it is leaving are moved") {
  exchange_fixture f;
  f.SendStreamRequest();
  const std::string source = f.TargetName(0);
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\nLeaving: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      f.Event(1));
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) == source);
  CHECK(f.target_channel(1).written.starts_with("POST /move/"));
}

TEST_CASE(
    "the last target of a domain that leaves is replaced by another domain") {
  exchange_fixture f;
  f.directory.Remove(target_id("p2"), std::nullopt, f.scheduler.Now());
  f.AddTarget("p3", "desk", "other");
  f.SendRequest("/once/x");
  REQUIRE(f.TargetName(0) == "p1");
  f.target_channel().Receive(f.Response("200 OK", "done", kSignedAndLeaving));
  CHECK(NextTarget(f, "/once/x") == "p3");
}

TEST_CASE("a refusal with a pause lets the request go to another target") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/once/x");
  const std::string paused = f.TargetName(0);
  f.target_channel().Receive(f.Response("503 Busy", "", kPause));
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) != paused);
  f.target_channel().Receive(f.Response("200 OK", "done"));
  for (int i = 0; i < 19; ++i) {
    f.scheduler.Advance(milliseconds(100));
    CHECK(NextTarget(f, "/once/x") != paused);
    f.target_channel().Receive(f.Response("200 OK", "done"));
  }
}

TEST_CASE("callers are refused at once while all targets pause") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("503 Busy", "", kPause));
  f.scheduler.Advance(milliseconds(500));
  f.target_channel().Receive(f.Response("503 Busy", "", kPause));
  CHECK(f.response().starts_with("HTTP/1.1 503"));
  CHECK(NextTarget(f, "/once/x").empty());
  CHECK(f.response().starts_with("HTTP/1.1 503"));
  // The first target accepts requests again in 1.5 s; callers return spread
  // over half of that time more.
  const std::size_t at = f.response().find("Again: ");
  REQUIRE(at != std::string::npos);
  const int retry_after_ms = std::stoi(f.response().substr(at + 7));
  CHECK(retry_after_ms >= 1500);
  CHECK(retry_after_ms <= 2250);
}

TEST_CASE("a response to a copy request may say that the target is leaving") {
  exchange_fixture f;
  f.SendStreamRequest();
  f.target_channel().Receive(f.StreamHead() + f.Event(1));
  f.directory.Remove(target_id(f.TargetName(0)), std::nullopt,
                     f.scheduler.Now());
  REQUIRE(f.connector.channels.size() == 2);
  f.target_channel(1).Receive(
      "HTTP/1.1 503 Full\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
  const known_target* source = f.directory.Find(target_id(f.TargetName(0)));
  REQUIRE(source);
  CHECK(source->stated_leaving);
}

TEST_CASE("a brittle target gets no more requests than it has slots") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive(
      f.Response("200 OK", "done", "Signed: 1\r\nBrittle: 3\r\n"));
  CHECK(f.logger.LastField("targets_brittle", "service") == "desk");
  std::vector<std::shared_ptr<caller_connection>> connections;
  for (int i = 0; i < 30; ++i) {
    NextTarget(f, "/once/x");
    connections.push_back(f.connection);
  }
  const int slots = 8;
  CHECK(f.selector.TotalLoad(target_id("p1")).runs == slots);
  CHECK(f.selector.TotalLoad(target_id("p2")).runs == slots);
  f.scheduler.Advance(milliseconds(50));
  CHECK(f.response().starts_with("HTTP/1.1 503"));
}

TEST_CASE("a brittle target that refused its share is left out") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.services.instance_count = 1;
  f.SendRequest("/once/x");
  const std::string full = f.TargetName(0);
  f.target_channel().Receive(
      f.Response("503 Busy", "", "Not-Run: 1\r\nBrittle: 1\r\n"));
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) != full);
  f.target_channel().Receive(f.Response("200 OK", "done"));
  for (int i = 0; i < 9; ++i) {
    f.scheduler.Advance(milliseconds(100));
    CHECK(NextTarget(f, "/once/x") != full);
    f.target_channel().Receive(f.Response("200 OK", "done"));
  }
  CHECK(f.metrics.Text().find("wist_gateway_brittle_refusals_total 1") !=
        std::string::npos);
}

TEST_CASE("callers are refused at once while all targets are left out") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/once/x");
  const std::string refusal = "Not-Run: 1\r\nBrittle: 1\r\n";
  f.target_channel().Receive(f.Response("503 Busy", "", refusal));
  f.target_channel().Receive(f.Response("503 Busy", "", refusal));
  CHECK(NextTarget(f, "/once/x").empty());
  CHECK(f.response().starts_with("HTTP/1.1 503"));
  const std::size_t at = f.response().find("Again: ");
  REQUIRE(at != std::string::npos);
  CHECK(std::stoi(f.response().substr(at + 7)) >= 1000);
}

TEST_CASE("a tolerance that can't be read is reported and the response used") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive(
      f.Response("200 OK", "done", "Signed: 1\r\nBrittle: unreadable\r\n"));
  CHECK(f.ResponseContains("done"));
  REQUIRE(f.invalid_responses.size() == 1);
  CHECK(f.invalid_responses[0].rule == "tolerated_refusals");
}
