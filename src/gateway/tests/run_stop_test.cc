#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against a run that two targets work on at once: a target may go on
// with a run after the run's connection was closed.

using namespace wist;

namespace {

struct stopped_stream : exchange_fixture {
  stopped_stream() {
    AddTarget("far", "engines", "other");
    SendLongStreamRequest();
    source = TargetName(0);
    target_channel(0).Receive(StreamHead() + Event(1) + Event(2));
  }

  void MoveFromSource() {
    directory.Remove(target_id(source), std::nullopt, scheduler.Now());
    target_channel().Receive(Response("200 OK", "copy"));
  }

  std::size_t CountRequests(const std::string& start) const {
    std::size_t count = 0;
    for (const auto& channel : connector.channels)
      count += channel->written.starts_with(start) ? 1 : 0;
    return count;
  }

  bool HasResumed() const {
    for (const auto& channel : connector.channels) {
      if (channel->written.find("Memory: ") != std::string::npos)
        return true;
    }
    return false;
  }

  std::string source;
};

}  // namespace

TEST_CASE("a moved run continues only after its source was told to stop it") {
  stopped_stream f;
  f.MoveFromSource();
  CHECK(f.TargetName(2) == f.source);
  CHECK(f.target_channel(2).written.starts_with("POST /stop/r/"));
  CHECK_FALSE(f.HasResumed());
  f.ConfirmStop();
  CHECK(f.HasResumed());
  CHECK(f.target_channel().written.find("Memory: copy\r\nAfter: 2\r\n") !=
        std::string::npos);
}

// Guards against the same on the way of the backup, where the response cannot
// be used although its target is alive.
TEST_CASE("a backup is used only after the failed target was told to stop") {
  stopped_stream f;
  f.target_channel(0).Receive("no chunk\r\n");
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) == f.source);
  CHECK(f.target_channel(1).written.starts_with("POST /stop/r/far"));
  CHECK_FALSE(f.HasResumed());
  f.target_channel(1).Receive(f.Response("404 Not Found", ""));
  CHECK(f.HasResumed());
  CHECK(f.TargetName(2) == "far");
}

TEST_CASE("a run whose target accepts no connections continues at once") {
  stopped_stream f;
  f.target_channel(0).End(channel_end::reset);
  f.target_channel(1).End(channel_end::connect_failed);
  CHECK(f.HasResumed());
}

// Guards against long pauses in streams whose source stops the run but has a
// long queue of copies before it responds.
TEST_CASE("the wait for the confirmation of a stop is bounded") {
  stopped_stream f;
  f.MoveFromSource();
  f.scheduler.Advance(milliseconds(99));
  CHECK_FALSE(f.HasResumed());
  f.scheduler.Advance(milliseconds(1));
  CHECK(f.HasResumed());
  CHECK_FALSE(f.target_channel(2).aborted);
  CHECK(f.target_channel(0).aborted);
}

TEST_CASE("a stop that was not confirmed is requested again") {
  stopped_stream f;
  f.MoveFromSource();
  f.target_channel(2).End(channel_end::reset);
  CHECK_FALSE(f.HasResumed());
  f.scheduler.Advance(milliseconds(60));
  CHECK(f.CountRequests("POST /stop/r/") == 2);
  f.target_channel().Receive(f.Response("409 Conflict", ""));
  f.scheduler.Advance(milliseconds(60));
  CHECK(f.CountRequests("POST /stop/r/") == 3);
  f.target_channel().Receive(f.Response("404 Not Found", ""));
  f.scheduler.Advance(milliseconds(500));
  CHECK(f.CountRequests("POST /stop/r/") == 3);
}

// A refusal without a handle does not mean that the run was stopped.
TEST_CASE("a refused stop is requested again, but not without end") {
  stopped_stream f;
  f.MoveFromSource();
  for (int i = 0; i < 100; ++i) {
    const auto channel = f.connector.channels.back();
    if (channel->written.starts_with("POST /stop/"))
      channel->Receive(f.Response("503 Full", ""));
    for (const auto& other : f.connector.channels) {
      if (other->written.starts_with("POST /stop/"))
        other->Receive(f.Response("503 Full", ""));
    }
    f.scheduler.Advance(milliseconds(60));
  }
  CHECK(f.CountRequests("POST /stop/r/") == 16);
}

// Guards against receivers whose memory is held by copies that no run uses.
TEST_CASE("the copy that a stop has made is freed") {
  stopped_stream f;
  f.MoveFromSource();
  f.target_channel(0).End(channel_end::closed);
  REQUIRE(f.HasResumed());
  const auto resumed = f.connector.channels.back();
  f.target_channel(2).Receive(f.Response("200 OK", "second"));
  resumed->Receive(f.StreamHead() + f.Event(3));
  CHECK(f.CountRequests("DELETE /copy/second") == 1);
  CHECK(f.CountRequests("DELETE /copy/copy") == 0);
}

TEST_CASE("the copy with which the run continues is not freed") {
  stopped_stream f;
  f.MoveFromSource();
  f.target_channel(2).Receive(f.Response("503 Full", "copy"));
  CHECK(f.HasResumed());
  CHECK(f.CountRequests("DELETE /copy/") == 0);
}

TEST_CASE("a run whose caller leaves during the stop does not continue") {
  stopped_stream f;
  f.MoveFromSource();
  f.caller_channel->End(channel_end::closed);
  f.target_channel(2).Receive(f.Response("404 Not Found", ""));
  f.scheduler.Advance(milliseconds(200));
  CHECK_FALSE(f.HasResumed());
}

// Guards against a stop that is abandoned, and a run that goes on for nobody,
// when the caller leaves before the stop is confirmed.
TEST_CASE("a stop is completed after the caller has left") {
  stopped_stream f;
  f.MoveFromSource();
  f.caller_channel->End(channel_end::closed);
  f.target_channel(2).End(channel_end::reset);
  f.scheduler.Advance(milliseconds(60));
  CHECK(f.CountRequests("POST /stop/r/") == 2);
}
