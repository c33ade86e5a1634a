#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

using namespace wist;

TEST_CASE("a response is forwarded completely and the connection is kept") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/once/x");
  CHECK(f.target_channel().written.starts_with("POST /once/x HTTP/1.1\r\n"));
  f.target_channel().Receive(f.Response("200 OK", "done"));
  CHECK(f.response().starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(f.response().ends_with("\r\n\r\ndone"));
  CHECK(f.caller_channel->open());
}

TEST_CASE("a call that may have run is retried only if it is idempotent") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/once/x");
  f.target_channel().End(channel_end::reset);
  CHECK(f.connector.channels.size() == 1);
  CHECK(f.response().starts_with("HTTP/1.1 502"));
}

TEST_CASE("an idempotent call is retried once on another target") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/again/x");
  f.target_channel().End(channel_end::reset);
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(0) != f.TargetName(1));
  f.target_channel().End(channel_end::reset);
  CHECK(f.connector.channels.size() == 2);
  CHECK(f.response().starts_with("HTTP/1.1 502"));
}

TEST_CASE("nothing is retried without retry budget") {
  exchange_fixture f;
  f.settings.retry_ratio = 0;
  f.SendRequest("/again/x");
  f.target_channel().End(channel_end::reset);
  CHECK(f.connector.channels.size() == 1);
  CHECK(f.response().starts_with("HTTP/1.1 502"));
}

TEST_CASE("a request that a target did not run is sent to another target") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("503 Full", "", "Not-Run: 1\r\n"));
  REQUIRE(f.connector.channels.size() == 2);
  f.target_channel().Receive(f.Response("200 OK", "done"));
  CHECK(f.response().starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request that all targets refused is reported as not run") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("503 Full", "", "Not-Run: 1\r\n"));
  f.target_channel().Receive(f.Response("503 Full", "", "Not-Run: 1\r\n"));
  CHECK(f.response().starts_with("HTTP/1.1 503"));
  CHECK(f.ResponseContains("Code: overloaded"));
  CHECK(f.ResponseContains("Again: "));
}

TEST_CASE("an unreachable target is replaced without using the retry budget") {
  exchange_fixture f;
  f.settings.retry_ratio = 0;
  f.SendRequest("/once/x");
  f.target_channel().connected = false;
  f.target_channel().End(channel_end::connect_failed);
  REQUIRE(f.connector.channels.size() == 2);
  f.target_channel().Receive(f.Response("200 OK", "done"));
  CHECK(f.response().starts_with("HTTP/1.1 200"));
}

TEST_CASE("a success without the target's signature is not forwarded") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("200 OK", "forged", ""));
  CHECK(f.response().starts_with("HTTP/1.1 502"));
  CHECK_FALSE(f.ResponseContains("forged"));
}

TEST_CASE("a failure response of a target is forwarded unchanged") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("500 Oops", "why"));
  CHECK(f.response().starts_with("HTTP/1.1 500"));
  CHECK(f.response().ends_with("why"));
}

TEST_CASE("a request that was sent before its deadline may have run") {
  exchange_fixture f;
  f.SendRequest("/once/x", "Time: 300\r\n");
  CHECK(f.target_channel().written.find("Left: 300\r\n") != std::string::npos);
  f.scheduler.Advance(milliseconds(301));
  CHECK(f.response().starts_with("HTTP/1.1 502"));
  CHECK(f.ResponseContains("Code: deadline_exceeded"));
  CHECK(f.target_channel().aborted);
}

TEST_CASE("a request that was not sent before its deadline did not run") {
  exchange_fixture f;
  f.SendRequest("/once/x", "Time: 200\r\n");
  f.target_channel().connected = false;
  f.scheduler.Advance(milliseconds(201));
  CHECK(f.response().starts_with("HTTP/1.1 503"));
}

TEST_CASE("a slow idempotent call is retried on another target") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/again/x");
  f.scheduler.Advance(milliseconds(850));
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.target_channel(0).aborted);
  f.target_channel().Receive(f.Response("200 OK", "done"));
  CHECK(f.response().starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request is cancelled when the caller disconnects") {
  exchange_fixture f;
  f.SendRequest("/again/x");
  f.caller_channel->End(channel_end::closed);
  CHECK(f.target_channel().aborted);
  f.scheduler.Advance(seconds(10));
  CHECK(f.connector.channels.size() == 1);
}

TEST_CASE("keyed requests are refused once the configuration is too old") {
  exchange_fixture f;
  f.scheduler.Advance(milliseconds(4950));
  f.SendRequest("/once/x");
  CHECK(f.connector.channels.empty());
  CHECK(f.caller_channel->closed);
  CHECK(f.response().starts_with("HTTP/1.1 503"));
  CHECK(f.ResponseContains("Code: not_ready"));
}

TEST_CASE("routes without keys are served with an old configuration") {
  exchange_fixture f;
  f.scheduler.Advance(seconds(20));
  // The idle timeout closed the caller's connection, so the caller opens a new
  // one.
  f.caller_channel = std::make_shared<scripted_channel>();
  f.connection = std::make_shared<caller_connection>(
      f.services, f.caller_channel, [](caller_connection*) {});
  f.connection->Start();
  f.SendRequest("/open/x");
  CHECK(f.connector.channels.size() == 1);
}

TEST_CASE("an unknown path is reported only with a fresh configuration") {
  exchange_fixture f;
  f.SendRequest("/nowhere/x");
  CHECK(f.ResponseContains("Code: no_route"));
  exchange_fixture old;
  old.scheduler.Advance(milliseconds(4950));
  old.SendRequest("/nowhere/x");
  CHECK(old.ResponseContains("Code: not_ready"));
}

TEST_CASE("a stream is forwarded event by event") {
  exchange_fixture f;
  f.SendStreamRequest();
  f.target_channel().Receive(f.StreamHead() + f.Event(1));
  CHECK(f.ResponseContains("id: 1"));
  f.target_channel().Receive(EncodeChunk("id: 2\ndata"));
  CHECK_FALSE(f.ResponseContains("id: 2"));
  f.target_channel().Receive(EncodeChunk(": x\n\n") + std::string(LastChunk()));
  CHECK(f.ResponseContains("id: 2"));
  CHECK(f.response().ends_with("0\r\n\r\n"));
}

TEST_CASE("an aborted stream does not look complete") {
  exchange_fixture f;
  f.SendStreamRequest();
  f.target_channel().Receive(f.StreamHead() + f.Event(1));
  f.target_channel().End(channel_end::reset);
  CHECK(f.caller_channel->aborted);
  CHECK_FALSE(f.response().ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that ends in the middle of an event is aborted") {
  exchange_fixture f;
  f.SendStreamRequest();
  f.target_channel().Receive(f.StreamHead() + f.Event(1) +
                             EncodeChunk("id: 2\n") + std::string(LastChunk()));
  CHECK(f.caller_channel->aborted);
}

// A stream may come with neither a length nor chunks and end with its channel.
TEST_CASE("a stream without a length is complete when its channel is closed") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\n\r\n";
  const std::string event = "id: 1\ndata: x\n\n";
  SECTION("after its last event") {
    exchange_fixture f;
    f.SendStreamRequest();
    f.target_channel().Receive(head + event);
    f.target_channel().End(channel_end::closed);
    CHECK(f.ResponseContains("id: 1"));
    CHECK(f.response().ends_with("0\r\n\r\n"));
    CHECK(f.caller_channel->open());
  }
  SECTION("but not inside an event") {
    exchange_fixture f;
    f.SendStreamRequest();
    f.target_channel().Receive(head + event + "id: 2\ndata");
    f.target_channel().End(channel_end::closed);
    CHECK_FALSE(f.ResponseContains("id: 2"));
    CHECK(f.caller_channel->aborted);
  }
  SECTION("but not after a reset") {
    exchange_fixture f;
    f.SendStreamRequest();
    f.target_channel().Receive(head + event);
    f.target_channel().End(channel_end::reset);
    CHECK(f.caller_channel->aborted);
  }
  SECTION("but not before its first event") {
    exchange_fixture f;
    f.SendStreamRequest();
    f.target_channel().Receive(head);
    f.target_channel().End(channel_end::closed);
    CHECK(f.response().starts_with("HTTP/1.1 502"));
  }
}

// Guards against a response with an empty body, framed as whole, for a target
// that stopped in the middle of its head.
TEST_CASE("a target that stops inside its head has not responded") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive("HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n");
  f.target_channel().End(channel_end::closed);
  CHECK(f.response().starts_with("HTTP/1.1 502"));
}

TEST_CASE("pipelined requests are processed in order") {
  exchange_fixture f;
  f.SendRequest("/once/1");
  f.SendRequest("/once/2");
  REQUIRE(f.connector.channels.size() == 1);
  f.target_channel().Receive(f.Response("200 OK", "first"));
  f.scheduler.Advance(milliseconds(1));
  CHECK(f.target_channel(0).written.find("/once/2") != std::string::npos);
}

TEST_CASE("pooled connections to an unresponsive target are not reused") {
  exchange_fixture f;
  f.directory.Remove(target_id("p2"), std::nullopt, f.scheduler.Now());
  f.SendRequest("/once/x");
  f.target_channel(0).Receive(f.Response("200 OK", "done"));
  f.scheduler.Advance(milliseconds(10));
  f.SendRequest("/once/x", "Time: 300\r\n");
  CHECK(f.connector.channels.size() == 1);
  f.scheduler.Advance(milliseconds(301));
  f.SendRequest("/once/x", "Time: 300\r\n");
  CHECK(f.connector.channels.size() == 2);
}

TEST_CASE("a stopping instance accepts requests that it can still finish") {
  exchange_fixture f;
  f.services.accept_deadline = f.scheduler.Now() + milliseconds(2600);
  f.services.stop_deadline = f.scheduler.Now() + milliseconds(7000);
  f.SendRequest("/once/x");
  REQUIRE(f.connector.channels.size() == 1);
  f.target_channel().Receive(f.Response("200 OK", "done"));
  f.SendStreamRequest();
  CHECK(f.connector.channels.size() == 2);
}

TEST_CASE("a stopping instance refuses requests that it would interrupt") {
  exchange_fixture f;
  f.services.accept_deadline = f.scheduler.Now() + milliseconds(2600);
  f.services.stop_deadline = f.scheduler.Now() + milliseconds(900);
  f.SendStreamRequest();
  CHECK(f.connector.channels.empty());
  CHECK(f.ResponseContains("Code: stopping"));
  CHECK(f.caller_channel->closed);
}

TEST_CASE(
    "a stopping instance refuses all requests after the accept deadline") {
  exchange_fixture f;
  f.services.accept_deadline = f.scheduler.Now() + milliseconds(2600);
  f.services.stop_deadline = f.scheduler.Now() + milliseconds(7000);
  f.scheduler.Advance(milliseconds(2600));
  f.SendRequest("/once/x");
  CHECK(f.connector.channels.empty());
  CHECK(f.ResponseContains("Code: stopping"));
}

TEST_CASE("the log line of a request states whether the request ran") {
  exchange_fixture refused;
  refused.settings.retry_slack = 100;
  refused.SendRequest("/once/x");
  refused.target_channel().Receive(
      refused.Response("503 Full", "", "Not-Run: 1\r\n"));
  refused.target_channel().Receive(
      refused.Response("503 Full", "", "Not-Run: 1\r\n"));
  CHECK(refused.logger.LastField("request", "outcome") == "refused");
  CHECK(refused.logger.LastField("request", "verdict") == "not_run");
  exchange_fixture failed;
  failed.SendRequest("/once/x");
  failed.target_channel().End(channel_end::reset);
  CHECK(failed.logger.LastField("request", "verdict") == "may_have_run");
  exchange_fixture completed;
  completed.SendRequest("/once/x");
  completed.target_channel().Receive(completed.Response("200 OK", "done"));
  CHECK(completed.logger.LastField("request", "verdict") == "ran");
}

TEST_CASE("a stream always starts on a new connection") {
  exchange_fixture f;
  for (const char* name : {"e2", "e3"})
    f.directory.Remove(target_id(name), std::nullopt, f.scheduler.Now());
  f.SendStreamRequest();
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1) +
                              std::string(LastChunk()));
  f.scheduler.Advance(milliseconds(1));
  f.SendStreamRequest();
  REQUIRE(f.connector.channels.size() == 2);
  f.target_channel(1).connected = false;
  f.target_channel(1).End(channel_end::connect_failed);
  CHECK(f.response().find("HTTP/1.1 503") != std::string::npos);
}

TEST_CASE("a response that exceeds the buffer is never forwarded in part") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n"
      "Content-Length: 9000000\r\n\r\n");
  const std::string part(1'000'000, 'x');
  for (int i = 0; i < 9; ++i)
    f.target_channel().Receive(part);
  CHECK(f.response().starts_with("HTTP/1.1 502"));
  CHECK(f.target_channel().aborted);
}

TEST_CASE("a head that arrives byte by byte times out") {
  exchange_fixture f;
  for (int i = 0; i < 4; ++i) {
    f.caller_channel->Receive("X");
    f.scheduler.Advance(milliseconds(900));
  }
  CHECK(f.ResponseContains("Code: request_timeout"));
  CHECK(f.caller_channel->closed);
}

TEST_CASE("a caller that pipelines too many bytes is disconnected") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  const std::string part(100'000, 'x');
  for (int i = 0; i < 3; ++i)
    f.caller_channel->Receive(part);
  CHECK(f.caller_channel->aborted);
  CHECK(f.target_channel().aborted);
}

// Guards against a Retry-After that is too long: a burst fills all engines for
// a moment, and refused callers return too late to be served in time.
TEST_CASE("a refused generation can be retried within its objective") {
  exchange_fixture f;
  selection_request large;
  large.service = service_id("engines");
  large.size = generation_size{9000, 0};
  for (const char* name : {"e1", "e2", "e3"})
    f.selector.BeginRun(target_id(name), large, f.scheduler.Now());
  f.SendStreamRequest();
  f.scheduler.Advance(milliseconds(100));
  REQUIRE(f.response().starts_with("HTTP/1.1 503"));
  const std::size_t field = f.response().find("Again: ");
  REQUIRE(field != std::string::npos);
  const int retry_after_ms = std::stoi(f.response().substr(field + 7));
  // Half of the objective of 400 ms is left for the response.
  CHECK(retry_after_ms >= 100);
  CHECK(retry_after_ms <= 150);
}

TEST_CASE("a connect that fails across the border is followed by one inside") {
  exchange_fixture f;
  for (const char* name : {"e1", "e2", "e3"}) {
    selection_request busy;
    busy.service = service_id("engines");
    busy.size = generation_size{6000, 0};
    f.selector.BeginRun(target_id(name), busy, f.scheduler.Now());
  }
  for (const char* name : {"x1", "x2", "x3", "x4"})
    f.AddTarget(name, "engines", "elsewhere");
  f.SendStreamRequest();
  REQUIRE(f.TargetName(0).starts_with("x"));
  f.target_channel().End(channel_end::connect_failed);
  REQUIRE(f.connector.addresses.size() == 2);
  CHECK(f.TargetName(1).starts_with("e"));
}

TEST_CASE("targets that ended without notice do not use up the attempts") {
  exchange_fixture f;
  for (int i = 0; i < 6; ++i)
    f.AddTarget("dead" + std::to_string(i), "engines");
  for (const char* name : {"e1", "e2", "e3"}) {
    selection_request busy;
    busy.service = service_id("engines");
    busy.size = generation_size{6000, 0};
    f.selector.BeginRun(target_id(name), busy, f.scheduler.Now());
  }
  f.SendStreamRequest();
  int failures = 0;
  while (f.connector.addresses.back().host.starts_with("dead")) {
    REQUIRE(++failures <= 6);
    f.target_channel().End(channel_end::connect_failed);
  }
  CHECK(failures == 6);
  CHECK(f.connector.addresses.back().host.starts_with("e"));
  CHECK(f.response().empty());
}

TEST_CASE("a request that cannot connect anywhere is refused within its time") {
  exchange_fixture f;
  for (int i = 0; i < 30; ++i)
    f.AddTarget("dead" + std::to_string(i), "engines");
  f.SendStreamRequest();
  // Each attempt takes 60 ms; half of the objective is 200 ms.
  for (int i = 0; i < 20 && f.response().empty(); ++i) {
    f.scheduler.Advance(milliseconds(60));
    f.target_channel().End(channel_end::connect_failed);
  }
  CHECK(f.ResponseContains("overloaded"));
  CHECK(f.connector.addresses.size() == 4);
}

// A target in trouble may send bytes that are no events, without end.
TEST_CASE("a stream without events is ended before it fills the memory") {
  for (const bool has_started : {false, true}) {
    exchange_fixture f;
    f.SendStreamRequest();
    f.target_channel().Receive(f.StreamHead());
    if (has_started)
      f.target_channel().Receive(f.Event(1));
    const std::string chunk = EncodeChunk(std::string(65'536, 'x'));
    int count = 0;
    while (f.target_channel().open() && count < 1000) {
      f.target_channel().Receive(chunk);
      ++count;
    }
    CHECK(count <= 32);
    if (has_started) {
      CHECK(f.caller_channel->aborted);
      CHECK_FALSE(f.response().ends_with(LastChunk()));
    } else {
      CHECK(f.ResponseContains("Code: target_failed"));
    }
    // The target's failure is counted.
    CHECK(f.selector.OwnLoads(f.scheduler.Now()).size() ==
          (has_started ? 0U : 1U));
  }
}

// Guards against instances that end since a target states a length for which
// there is no memory.
TEST_CASE(
    "a response whose length exceeds the buffer is given up at its head") {
  for (const char* length : {"8388609", "9999999999999999", "99999999999"}) {
    exchange_fixture f;
    f.SendRequest("/once/x");
    f.target_channel().Receive(
        "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nContent-Length: " +
        std::string(length) + "\r\n\r\nx");
    CHECK(f.response().starts_with("HTTP/1.1 502"));
    CHECK(f.target_channel().aborted);
  }
}

// Guards against an exception that leaves a request without an end.
TEST_CASE("a response that cannot be processed ends its request only") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  CHECK_THROWS_AS(f.target_channel().Receive(f.Response(
                      "200 OK", "done", "Signed: 1\r\nThrows: 1\r\n")),
                  std::bad_alloc);
  CHECK(f.response().starts_with("HTTP/1.1 502"));
  f.scheduler.Advance(milliseconds(1));
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("200 OK", "done"));
  CHECK(f.response().ends_with("\r\n\r\ndone"));
}
