#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against bytes of a target in trouble that reach a caller as a
// response, or that decide about a run or about the target itself.

using namespace wist;

namespace {

// Heads of what would be a signed success, a refusal and a failure otherwise.
// `lines` are header lines.
std::vector<std::string> InvalidHeads(const std::string& lines) {
  const std::string fields = "Id: r\r\n" + lines;
  std::vector<std::string> heads;
  for (const char* code : {"000", "099", "600", "999"})
    heads.push_back("HTTP/1.1 " + std::string(code) + " X\r\n" + fields);
  for (const char* status : {"200 OK", "500 Oops", "503 Full"}) {
    const std::string start = "HTTP/1.1 " + std::string(status) + "\r\n";
    for (const char* name : {"X Y", "X ", " X", "\tX", "X\x01", "X\x7fY"})
      heads.push_back(start + fields + name + ": 1\r\n");
    heads.push_back(start + fields + "X: \x01\r\n");
    heads.push_back(start + fields + "X: 1\r\n folded\r\n");
    heads.push_back(start + fields + "Transfer-Encoding: gzip\r\n");
  }
  heads.push_back("HTTP/1.1 204 No Content\r\n" + fields);
  heads.push_back("HTTP/1.1 101 Switching Protocols\r\n" + fields);
  heads.push_back("HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n" +
                  fields);
  return heads;
}

std::vector<std::string> InvalidResponses(const std::string& lines) {
  std::vector<std::string> responses;
  for (const std::string& head : InvalidHeads(lines))
    responses.push_back(head + "Content-Length: 6\r\n\r\nsecret");
  for (const char* chunks :
       {"x\r\nsecret\r\n0\r\n\r\n", "6\r\nsecret!\r\n0\r\n\r\n",
        "6\r\nsecret\r\n0\r\nX Y: 1\r\n\r\n",
        "6\r\nsecret\r\n0\r\nX: 1\r\n Y: 2\r\n\r\n"}) {
    responses.push_back("HTTP/1.1 200 OK\r\nId: r\r\n" + lines +
                        "Transfer-Encoding: chunked\r\n\r\n" + chunks);
  }
  return responses;
}

// Starts a stream whose target then leaves, so that its run is moved. Returns
// the name of that target.
std::string StartMove(exchange_fixture& f) {
  f.SendStreamRequest();
  const std::string source = f.TargetName(0);
  f.target_channel().Receive(f.StreamHead() + f.Event(1));
  f.directory.Remove(target_id(source), std::nullopt, f.scheduler.Now());
  REQUIRE(f.connector.channels.size() == 2);
  REQUIRE(f.target_channel().written.starts_with("POST /move/"));
  return source;
}

}  // namespace

TEST_CASE("a call that may have run gets 502 for an invalid response") {
  for (const char* lines : {"Signed: 1\r\n", "Not-Run: 1\r\n", ""}) {
    for (const std::string& bytes : InvalidResponses(lines)) {
      INFO(bytes);
      exchange_fixture f;
      f.settings.retry_slack = 100;
      f.SendRequest("/once/x");
      f.target_channel().Receive(bytes);
      CHECK(f.connector.channels.size() == 1);
      CHECK(f.target_channel().aborted);
      CHECK(f.response().starts_with("HTTP/1.1 502"));
      CHECK(f.ResponseContains("Code: target_failed"));
      CHECK_FALSE(f.ResponseContains("secret"));
      CHECK_FALSE(f.ResponseContains("Again: "));
      CHECK(f.logger.LastField("request", "verdict") == "may_have_run");
    }
  }
}

TEST_CASE("an idempotent call is retried after an invalid response") {
  for (const std::string& bytes : InvalidResponses("Signed: 1\r\n")) {
    INFO(bytes);
    exchange_fixture f;
    f.settings.retry_slack = 100;
    f.SendRequest("/again/x");
    f.target_channel().Receive(bytes);
    REQUIRE(f.connector.channels.size() == 2);
    CHECK(f.TargetName(0) != f.TargetName(1));
    CHECK(f.response().empty());
    f.target_channel().Receive(f.Response("200 OK", "done"));
    CHECK(f.response().starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(f.response().ends_with("\r\n\r\ndone"));
  }
}

TEST_CASE("an invalid response to a streaming request starts no stream") {
  for (const std::string& head : InvalidHeads("Signed: 1\r\nEvents: 1\r\n")) {
    INFO(head);
    exchange_fixture f;
    f.SendStreamRequest();
    f.target_channel().Receive(head + "Transfer-Encoding: chunked\r\n\r\n" +
                               f.Event(1));
    CHECK(f.connector.channels.size() == 1);
    CHECK(f.response().starts_with("HTTP/1.1 502"));
    CHECK_FALSE(f.ResponseContains("data: x"));
  }
}

TEST_CASE("an invalid response to a resumed stream ends it") {
  for (const std::string& head : InvalidHeads("Signed: 1\r\nEvents: 1\r\n")) {
    INFO(head);
    exchange_fixture f;
    f.settings.retry_slack = 100;
    f.SendRequest("/resume/x", "Tokens: 1000\r\n");
    f.target_channel().Receive(f.StreamHead() + f.Event(1));
    f.target_channel().End(channel_end::reset);
    REQUIRE(f.connector.channels.size() == 2);
    f.target_channel().Receive(head + "Transfer-Encoding: chunked\r\n\r\n" +
                               f.Event(2) + std::string(LastChunk()));
    CHECK(f.caller_channel->aborted);
    CHECK_FALSE(f.ResponseContains("id: 2"));
    CHECK_FALSE(f.ResponseContains(std::string(LastChunk())));
  }
}

TEST_CASE("an invalid end of a stream is not passed on as its end") {
  for (const char* end :
       {"x\r\n", "0\r\nX Y: 1\r\n\r\n", "0\r\nX: 1\r\n Y: 2\r\n\r\n"}) {
    INFO(end);
    exchange_fixture f;
    f.SendStreamRequest();
    f.target_channel().Receive(f.StreamHead() + f.Event(1));
    f.target_channel().Receive(end);
    CHECK(f.caller_channel->aborted);
    CHECK_FALSE(f.ResponseContains(std::string(LastChunk())));
  }
}

TEST_CASE("an invalid response to a copy request names no copy") {
  for (const std::string& bytes : InvalidResponses("")) {
    INFO(bytes);
    exchange_fixture f;
    StartMove(f);
    f.target_channel().Receive(bytes);
    CHECK(f.logger.LastField("move", "outcome") == "broken");
    // The run goes on at its source.
    f.target_channel(0).Receive(f.Event(2));
    CHECK(f.ResponseContains("id: 2"));
    CHECK(f.caller_channel->open());
    f.scheduler.Advance(milliseconds(60));
    REQUIRE(f.connector.channels.size() == 3);
    CHECK(f.target_channel().written.starts_with("POST /move/"));
  }
}

TEST_CASE("an invalid response to a stop request confirms no stop") {
  for (const std::string& bytes : InvalidResponses("")) {
    INFO(bytes);
    exchange_fixture f;
    StartMove(f);
    f.target_channel().Receive(f.Response("200 OK", "copy"));
    REQUIRE(f.target_channel().written.starts_with("POST /stop/"));
    f.target_channel().Receive(bytes);
    for (const auto& channel : f.connector.channels)
      CHECK(channel->written.find("Memory: ") == std::string::npos);
    f.scheduler.Advance(milliseconds(60));
    CHECK(f.target_channel().written.starts_with("POST /stop/"));
  }
}

// A target that has stopped a run names the copy of it.
TEST_CASE("a stop without a handle is not confirmed") {
  exchange_fixture f;
  StartMove(f);
  f.target_channel().Receive(f.Response("200 OK", "copy"));
  REQUIRE(f.target_channel().written.starts_with("POST /stop/"));
  f.target_channel().Receive(f.Response("200 OK", ""));
  for (const auto& channel : f.connector.channels)
    CHECK(channel->written.find("Memory: ") == std::string::npos);
  f.scheduler.Advance(milliseconds(60));
  CHECK(f.target_channel().written.starts_with("POST /stop/"));
}

TEST_CASE("an invalid response states nothing about its target") {
  for (const std::string& bytes :
       InvalidResponses("Signed: 1\r\nLeaving: 1\r\nPause: 5000\r\n")) {
    INFO(bytes);
    exchange_fixture f;
    f.SendRequest("/once/x");
    const target_id target(f.TargetName(0));
    f.target_channel().Receive(bytes);
    CHECK_FALSE(f.directory.Find(target)->leaving);
    CHECK_FALSE(f.selector.PausedUntil(target, f.scheduler.Now()));
  }
}

TEST_CASE("invalid responses count against their target") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  std::map<std::string, int> requests;
  for (int i = 0; i < 40; ++i) {
    f.SendRequest("/once/x");
    const std::string name = f.TargetName(f.connector.channels.size() - 1);
    ++requests[name];
    if (name == "p1")
      f.target_channel().Receive(
          "HTTP/1.1 000 X\r\nId: r\r\nSigned: 1\r\n"
          "Content-Length: 0\r\n\r\n");
    else
      f.target_channel().Receive(f.Response("200 OK", "done"));
    f.scheduler.Advance(milliseconds(20));
  }
  CHECK(requests["p1"] < requests["p2"] / 2);
}

TEST_CASE("an invalid response is reported with its target and request") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/again/x");
  f.target_channel().Receive("HTTP/1.1 000 X\r\nId: r\r\nSigned: 1\r\n\r\n");
  f.target_channel().Receive(f.Response("200 OK", "forged", ""));
  REQUIRE(f.invalid_responses.size() == 2);
  CHECK(f.invalid_responses[0] ==
        invalid_response{{f.TargetName(0), "r"}, "status_code"});
  CHECK(f.invalid_responses[1] ==
        invalid_response{{f.TargetName(1), "r"}, "signature"});
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("500 Oops", "why"));
  CHECK(f.invalid_responses.size() == 2);
}

TEST_CASE("a body without end is reported") {
  exchange_fixture f;
  f.SendStreamRequest();
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\n\r\n" +
      std::string(2'000'000, 'x'));
  REQUIRE(f.invalid_responses.size() == 1);
  CHECK(f.invalid_responses[0].rule == "event_size");
  f.SendStreamRequest();
  f.target_channel().Receive("HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n\r\n" +
                             std::string(kMaxBufferedResponseBytes + 1, 'x'));
  REQUIRE(f.invalid_responses.size() == 2);
  CHECK(f.invalid_responses[1].rule == "body_size");
}

TEST_CASE("an invalid response about a copy is reported") {
  exchange_fixture f;
  const std::string source = StartMove(f);
  f.target_channel().Receive("HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n");
  f.scheduler.Advance(milliseconds(60));
  f.target_channel().Receive(f.Response("200 OK", "copy"));
  REQUIRE(f.target_channel().written.starts_with("POST /stop/"));
  f.target_channel().Receive("HTTP/1.1 999 X\r\n\r\n");
  REQUIRE(f.invalid_responses.size() == 2);
  CHECK(f.invalid_responses[0] ==
        invalid_response{{source, "r"}, "field_line"});
  CHECK(f.invalid_responses[1] ==
        invalid_response{{source, "r"}, "status_code"});
}

TEST_CASE("a response to HEAD is passed on without a body") {
  exchange_fixture f;
  const std::string request =
      "HEAD /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n\r\n";
  f.caller_channel->Receive(request);
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nContent-Length: 40\r\n\r\n");
  CHECK(f.response() ==
        "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 40\r\n\r\n");
  f.scheduler.Advance(milliseconds(1));
  f.caller_channel->Receive(request);
  CHECK(f.connector.channels.size() == 1);
}

TEST_CASE("a refusal of HEAD has no body") {
  exchange_fixture f;
  f.caller_channel->Receive(
      "HEAD /nowhere HTTP/1.1\r\nHost: h\r\nId: r\r\n\r\n");
  CHECK(f.response().ends_with("\r\n\r\n"));
}

TEST_CASE("responses without a body state no length of their own") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive(
      "HTTP/1.1 204 No Content\r\nId: r\r\n"
      "Signed: 1\r\n\r\n");
  CHECK(f.response() == "HTTP/1.1 204 No Content\r\nId: r\r\n\r\n");
  exchange_fixture g;
  g.SendRequest("/once/x");
  g.target_channel().Receive(
      "HTTP/1.1 304 Not Modified\r\nId: r\r\n"
      "Signed: 1\r\nContent-Length: 40\r\n\r\n");
  CHECK(g.response() ==
        "HTTP/1.1 304 Not Modified\r\nId: r\r\nContent-Length: 40\r\n\r\n");
}

TEST_CASE("an interim response is not the response") {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: q\r\n\r\n";
  for (const char* path : {"/once/x", "/again/x"}) {
    exchange_fixture f;
    f.SendRequest(path);
    f.target_channel().Receive(interim);
    CHECK(f.response().empty());
    f.target_channel().Receive(f.Response("200 OK", "done"));
    CHECK(f.response().starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(f.response().ends_with("\r\n\r\ndone"));
    CHECK(f.target_channel().open());
  }
  exchange_fixture f;
  f.SendStreamRequest();
  f.target_channel().Receive(interim + f.StreamHead() + f.Event(1));
  CHECK(f.response().starts_with("HTTP/1.1 200"));
  CHECK(f.ResponseContains("id: 1"));
}
