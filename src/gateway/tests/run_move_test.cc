#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Pattern: engines are reclaimed one after another at a short notice while they
// run long generations.

using namespace wist;

namespace {

struct running_stream : exchange_fixture {
  running_stream() {
    RequestStream();
    source = TargetName(0);
    target(0).Receive(StreamHead() + Event(1) + Event(2));
  }

  void SourceLeaves() {
    directory.Remove(target_id(source), false, scheduler.Now());
  }

  // The host that the newest copy goes to.
  std::string Receiver() {
    const std::string& written = target().written;
    const std::size_t from = written.rfind("/move/r/") + 8;
    return written.substr(from, written.find(' ', from) - from);
  }

  std::string source;
};

}  // namespace

TEST_CASE("a run goes on elsewhere after the last event that was sent") {
  running_stream f;
  f.SourceLeaves();
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) == f.source);
  const std::string receiver = f.Receiver();
  CHECK(receiver != f.source);
  f.target(0).Receive(f.Event(3));
  f.target(1).Receive(f.Answer("200 OK", "handle9"));
  CHECK(f.target(0).aborted);
  REQUIRE(f.connector.channels.size() == 3);
  CHECK(f.TargetName(2) == receiver);
  CHECK(f.target(2).written.find("Memory: handle9\r\nAfter: 3\r\n") !=
        std::string::npos);
  f.target(2).Receive(f.StreamHead() + f.Event(4) + std::string(LastChunk()));
  CHECK(f.sent().ends_with("0\r\n\r\n"));
  for (int id = 1; id <= 4; ++id) {
    const std::string line = "id: " + std::to_string(id) + "\n";
    CHECK(f.sent().find(line) == f.sent().rfind(line));
    CHECK(f.Sent(line));
  }
  CHECK(f.sent().find("HTTP/1.1") == f.sent().rfind("HTTP/1.1"));
}

TEST_CASE("a part of an event at the moment of the move is not passed on") {
  running_stream f;
  f.SourceLeaves();
  f.target(0).Receive(EncodeChunk("id: 3\nda"));
  f.target(1).Receive(f.Answer("200 OK", "h"));
  CHECK(f.target(2).written.find("After: 2\r\n") != std::string::npos);
  f.target(2).Receive(f.StreamHead() + f.Event(3));
  CHECK(f.sent().find("id: 3") == f.sent().rfind("id: 3"));
}

TEST_CASE("a receiver without room is replaced by another one") {
  running_stream f;
  f.SourceLeaves();
  const std::string first = f.Receiver();
  f.target(1).Receive(f.Answer("503 Full", ""));
  CHECK(f.Receiver() != first);
  CHECK(f.Receiver() != f.source);
}

TEST_CASE("a run that has not begun is moved once its first event came") {
  exchange_fixture f;
  f.RequestStream();
  const std::string source = f.TargetName(0);
  f.directory.Remove(target_id(source), false, f.scheduler.Now());
  CHECK(f.connector.channels.size() == 1);
  f.target(0).Receive(f.StreamHead() + f.Event(1));
  CHECK(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) == source);
}

TEST_CASE("a run that can't be moved ends where it is") {
  running_stream f;
  f.SourceLeaves();
  f.target(1).End(channel_end::reset);
  f.target(0).Receive(f.Event(3) + std::string(LastChunk()));
  CHECK(f.sent().ends_with("0\r\n\r\n"));
}

TEST_CASE("a target that dies during the copy breaks the stream off") {
  running_stream f;
  f.SourceLeaves();
  f.target(0).End(channel_end::reset);
  CHECK(f.caller_channel->aborted);
  CHECK(f.target(1).aborted);
}

TEST_CASE("a caller that leaves ends the move as well") {
  running_stream f;
  f.SourceLeaves();
  f.caller_channel->End(channel_end::closed);
  CHECK(f.target(0).aborted);
  CHECK(f.target(1).aborted);
}

TEST_CASE("a refused continuation breaks the stream off") {
  running_stream f;
  f.SourceLeaves();
  f.target(1).Receive(f.Answer("200 OK", "h"));
  f.target(2).Receive(f.Answer("503 Gone", "", "Not-Run: 1\r\n"));
  CHECK(f.caller_channel->aborted);
}

TEST_CASE("a second notice moves the run once more") {
  running_stream f;
  f.SourceLeaves();
  f.target(1).Receive(f.Answer("200 OK", "h1"));
  f.target(2).Receive(f.StreamHead() + f.Event(3));
  f.directory.Remove(target_id(f.TargetName(2)), false, f.scheduler.Now());
  f.target().Receive(f.Answer("200 OK", "h2"));
  CHECK(f.target().written.find("Memory: h2\r\nAfter: 3\r\n") !=
        std::string::npos);
}

// A run of the grown Guild site (scale-1): moves gave up after half a second of
// a notice of two, while engines had room a little later.
TEST_CASE("a move waits for room through the whole notice") {
  running_stream f;
  selection_request large;
  large.service = service_id("engines");
  large.size = generation_size{20'000, 0};
  std::vector<run_number> runs;
  for (const char* name : {"e1", "e2", "e3"}) {
    if (name != f.source)
      runs.push_back(
          f.selector.Begin(target_id(name), large, f.scheduler.Now()));
  }
  f.SourceLeaves();
  f.scheduler.Advance(milliseconds(1500));
  CHECK(f.connector.channels.size() == 1);
  f.selector.End(runs.front(), run_end::answered, f.scheduler.Now());
  f.scheduler.Advance(milliseconds(100));
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) == f.source);
}

TEST_CASE("a receiver that had no room is asked again when all have none") {
  running_stream f;
  f.SourceLeaves();
  const std::string first = f.Receiver();
  f.target().Receive(f.Answer("503 Full", ""));
  f.target().Receive(f.Answer("503 Full", ""));
  f.scheduler.Advance(milliseconds(200));
  f.target().Receive(f.Answer("200 OK", "h"));
  CHECK(f.target(0).aborted);
}
