#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against streams that are lost or late although their route permits a
// new run on another engine.

using namespace wist;

namespace {

struct resumable_stream : exchange_fixture {
  resumable_stream() {
    settings.retry_slack = 100;
    SendRequest("/resume/x", "Tokens: 1000\r\n");
  }

  bool WasSentAgain() const { return connector.channels.size() == 2; }
};

}  // namespace

TEST_CASE("a resumable stream that breaks off continues with a new run") {
  resumable_stream f;
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1) +
                              EncodeChunk("id: 2\nda"));
  f.target_channel(0).End(channel_end::reset);
  REQUIRE(f.WasSentAgain());
  CHECK(f.TargetName(1) != f.TargetName(0));
  CHECK(f.target_channel(1).written.find("After: 1\r\n") != std::string::npos);
  f.target_channel(1).Receive(f.StreamHead() + f.Event(2) +
                              std::string(LastChunk()));
  CHECK(f.response().ends_with("0\r\n\r\n"));
  CHECK(f.response().find("id: 2") == f.response().rfind("id: 2"));
  CHECK(f.response().find("HTTP/1.1") == f.response().rfind("HTTP/1.1"));
}

TEST_CASE("a resumable stream is sent to no more targets than its route says") {
  resumable_stream f;
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  f.target_channel(0).End(channel_end::reset);
  REQUIRE(f.WasSentAgain());
  f.target_channel(1).Receive(f.StreamHead() + f.Event(2));
  f.target_channel(1).End(channel_end::reset);
  CHECK(f.WasSentAgain());
  CHECK(f.caller_channel->aborted);
}

TEST_CASE("a resumed stream that no target accepts is aborted") {
  resumable_stream f;
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  f.target_channel(0).End(channel_end::reset);
  for (std::size_t i = 1; i < f.connector.channels.size(); ++i)
    f.target_channel(i).Receive(f.Response("503 Full", "", "Not-Run: 1\r\n"));
  CHECK(f.caller_channel->aborted);
  CHECK(f.response().find("HTTP/1.1") == f.response().rfind("HTTP/1.1"));
}

// A second run would read the prompt again and make other streams late.
TEST_CASE("a slow resumable stream stays where it is") {
  resumable_stream f;
  f.scheduler.Advance(milliseconds(1000));
  CHECK_FALSE(f.WasSentAgain());
}

// A call that may be repeated need not produce the same events again.
TEST_CASE("a stream of a repeatable call is not resumed without permission") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.SendRequest("/again/x");
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  f.target_channel(0).End(channel_end::reset);
  CHECK(f.connector.channels.size() == 1);
  CHECK(f.caller_channel->aborted);
}

// A response may be made of those of several targets, of which only the last
// one is in the line of the request.
TEST_CASE("each response that breaks off has a line of its own") {
  resumable_stream f;
  f.target_channel(0).Receive(f.StreamHead() + EncodeChunk("id: 1\nda"));
  f.target_channel(0).End(channel_end::reset);
  CHECK(f.logger.Count("attempt_broken") == 1);
  CHECK(f.logger.LastField("attempt_broken", "target") == f.TargetName(0));
  CHECK(f.logger.LastField("attempt_broken", "end") == "broken");
  CHECK(f.logger.LastField("attempt_broken", "events") == "0");
  CHECK(f.logger.LastField("attempt_broken", "incomplete_event_bytes") == "8");
  REQUIRE(f.WasSentAgain());
  f.target_channel(1).Receive(f.StreamHead() + f.Event(1) +
                              std::string(LastChunk()));
  CHECK(f.logger.Count("attempt_broken") == 1);
}
