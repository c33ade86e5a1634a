#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against long generations that are lost when the platform reclaims
// engines one after another at short notice.

using namespace wist;

namespace {

struct running_stream : exchange_fixture {
  running_stream() {
    SendStreamRequest();
    source = TargetName(0);
    target_channel(0).Receive(StreamHead() + Event(1) + Event(2));
  }

  void RemoveSource() {
    directory.Remove(target_id(source), std::nullopt, scheduler.Now());
  }

  // Returns the receiver named in the latest move request.
  std::string ReceiverHost() {
    const std::string& written = target_channel().written;
    const std::size_t from = written.rfind("/move/r/") + 8;
    return written.substr(from, written.find(' ', from) - from);
  }

  // Returns the receiver named in the latest stop request.
  std::string StopReceiverHost() {
    const std::string& written = target_channel().written;
    const std::size_t from = written.rfind("/stop/r/") + 8;
    return written.substr(from, written.find(' ', from) - from);
  }

  std::string source;
};

}  // namespace

TEST_CASE("a moved run continues after the last event that was sent") {
  running_stream f;
  f.RemoveSource();
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) == f.source);
  const std::string receiver = f.ReceiverHost();
  CHECK(receiver != f.source);
  f.target_channel(0).Receive(f.Event(3));
  f.target_channel(1).Receive(f.Response("200 OK", "handle9"));
  CHECK(f.TargetName(2) == f.source);
  CHECK(f.connector.channels.size() == 3);
  f.ConfirmStop();
  REQUIRE(f.connector.channels.size() == 4);
  CHECK(f.TargetName(3) == receiver);
  CHECK(f.target_channel(3).written.find("Memory: handle9\r\nAfter: 3\r\n") !=
        std::string::npos);
  f.target_channel(3).Receive(f.StreamHead() + f.Event(4) +
                              std::string(LastChunk()));
  CHECK(f.response().ends_with("0\r\n\r\n"));
  for (int id = 1; id <= 4; ++id) {
    const std::string line = "id: " + std::to_string(id) + "\n";
    CHECK(f.response().find(line) == f.response().rfind(line));
    CHECK(f.ResponseContains(line));
  }
  CHECK(f.response().find("HTTP/1.1") == f.response().rfind("HTTP/1.1"));
}

TEST_CASE("a partial event at the time of the move is not forwarded") {
  running_stream f;
  f.RemoveSource();
  f.target_channel(0).Receive(EncodeChunk("id: 3\nda"));
  f.target_channel(1).Receive(f.Response("200 OK", "h"));
  f.ConfirmStop();
  CHECK(f.target_channel(3).written.find("After: 2\r\n") != std::string::npos);
  f.target_channel(3).Receive(f.StreamHead() + f.Event(3));
  CHECK(f.response().find("id: 3") == f.response().rfind("id: 3"));
}

TEST_CASE("a receiver without room is replaced by another one") {
  running_stream f;
  f.RemoveSource();
  const std::string first = f.ReceiverHost();
  f.target_channel(1).Receive(f.Response("503 Full", ""));
  CHECK(f.ReceiverHost() != first);
  CHECK(f.ReceiverHost() != f.source);
}

TEST_CASE("a run that has not started is moved after its first event") {
  exchange_fixture f;
  f.SendStreamRequest();
  const std::string source = f.TargetName(0);
  f.directory.Remove(target_id(source), std::nullopt, f.scheduler.Now());
  CHECK(f.connector.channels.size() == 1);
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  CHECK(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) == source);
}

TEST_CASE("a run that can't be moved finishes on its source") {
  running_stream f;
  f.RemoveSource();
  f.target_channel(1).End(channel_end::reset);
  f.target_channel(0).Receive(f.Event(3) + std::string(LastChunk()));
  CHECK(f.response().ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream is aborted if its target fails during the copy") {
  running_stream f;
  f.RemoveSource();
  f.target_channel(0).End(channel_end::reset);
  CHECK(f.caller_channel->aborted);
  CHECK(f.target_channel(1).aborted);
}

TEST_CASE("the move is cancelled when the caller disconnects") {
  running_stream f;
  f.RemoveSource();
  f.caller_channel->End(channel_end::closed);
  CHECK(f.target_channel(0).aborted);
  CHECK(f.target_channel(1).aborted);
}

TEST_CASE("a stream is aborted if the receiver refuses to continue it") {
  running_stream f;
  f.RemoveSource();
  f.target_channel(1).Receive(f.Response("200 OK", "h"));
  f.ConfirmStop();
  f.target_channel(3).Receive(f.Response("503 Gone", "", "Not-Run: 1\r\n"));
  CHECK(f.caller_channel->aborted);
}

// Tells a stream that this instance gave up from one whose target broke off.
TEST_CASE("the reason of a broken stream names who ended it") {
  running_stream refused;
  refused.RemoveSource();
  refused.target_channel(1).Receive(refused.Response("200 OK", "h"));
  refused.ConfirmStop();
  refused.target_channel(3).Receive(
      refused.Response("503 Gone", "", "Not-Run: 1\r\n"));
  CHECK(refused.metrics.Text().find(
            "streams_broken_total{reason=\"receiver_refused\"} 1") !=
        std::string::npos);
  running_stream unreachable;
  unreachable.RemoveSource();
  unreachable.target_channel(1).Receive(unreachable.Response("200 OK", "h"));
  unreachable.ConfirmStop();
  unreachable.target_channel(3).End(channel_end::connect_failed);
  CHECK(unreachable.metrics.Text().find(
            "streams_broken_total{reason=\"receiver_unreachable\"} 1") !=
        std::string::npos);
  running_stream broken;
  broken.target_channel(0).End(channel_end::reset);
  CHECK(broken.metrics.Text().find(
            "streams_broken_total{reason=\"target_ended_stream\"} 1") !=
        std::string::npos);
}

TEST_CASE("a run is moved again when its receiver shuts down as well") {
  running_stream f;
  f.RemoveSource();
  f.target_channel(1).Receive(f.Response("200 OK", "h1"));
  f.ConfirmStop();
  f.target_channel(3).Receive(f.StreamHead() + f.Event(3));
  f.directory.Remove(target_id(f.TargetName(3)), std::nullopt,
                     f.scheduler.Now());
  f.target_channel().Receive(f.Response("200 OK", "h2"));
  f.ConfirmStop();
  CHECK(f.target_channel().written.find("Memory: h2\r\nAfter: 3\r\n") !=
        std::string::npos);
}

// Guards against moves that give up too early: under high load, moves were
// abandoned half a second into a two-second notice, although engines had room
// shortly afterwards.
TEST_CASE("a move waits for room during the whole notice") {
  running_stream f;
  selection_request large;
  large.service = service_id("engines");
  large.size = generation_size{20'000, 0};
  std::vector<run_number> runs;
  for (const char* name : {"e1", "e2", "e3"}) {
    if (name != f.source)
      runs.push_back(
          f.selector.BeginRun(target_id(name), large, f.scheduler.Now()));
  }
  f.RemoveSource();
  f.scheduler.Advance(milliseconds(1500));
  CHECK(f.connector.channels.size() == 1);
  f.selector.EndRun(runs.front(), run_end::completed, f.scheduler.Now());
  f.scheduler.Advance(milliseconds(100));
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(1) == f.source);
}

TEST_CASE("receivers are tried again after all of them had no room") {
  running_stream f;
  f.RemoveSource();
  const std::string first = f.ReceiverHost();
  f.target_channel().Receive(f.Response("503 Full", ""));
  f.target_channel().Receive(f.Response("503 Full", ""));
  f.scheduler.Advance(milliseconds(200));
  f.target_channel().Receive(f.Response("200 OK", "h"));
  f.ConfirmStop();
  CHECK(f.target_channel().written.find("Memory: h\r\n") != std::string::npos);
}

// Guards against an earlier refusal that a target writes once more on a kept
// connection: it would be taken as the response to the copy request.
TEST_CASE("a copy is requested on a new connection") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("200 OK", "done"));
  f.SendStreamRequest();
  const std::size_t run = f.connector.channels.size() - 1;
  f.target_channel(run).Receive(f.StreamHead() + f.Event(1));
  const std::string source = f.TargetName(run);
  // A connection to the source becomes idle.
  f.caller->Call({source, 80}, "GET / HTTP/1.1\r\n\r\n",
                 {f.scheduler.Now() + milliseconds(300)}, {});
  f.target_channel().Receive(f.Response("200 OK", ""));
  const std::size_t channels = f.connector.channels.size();
  f.directory.Remove(target_id(source), std::nullopt, f.scheduler.Now());
  REQUIRE(f.connector.channels.size() == channels + 1);
  CHECK(f.target_channel().written.starts_with("POST /move/"));
}

// Guards against instances that run out of memory since an engine in trouble
// answers the requests that move its runs with bytes without end.
TEST_CASE("a response without end to a copy request is given up early") {
  for (const std::string& framing :
       {std::string(), std::string("Transfer-Encoding: chunked\r\n"),
        std::string("Content-Length: 99999999999\r\n")}) {
    running_stream f;
    f.RemoveSource();
    INFO(framing);
    f.target_channel(1).Receive("HTTP/1.1 200 OK\r\n" + framing + "\r\n");
    const std::string bytes(4096, '?');
    std::size_t received = 0;
    while (f.target_channel(1).open() && received < 1'000'000) {
      f.target_channel(1).Receive(
          framing.starts_with("Transfer") ? EncodeChunk(bytes) : bytes);
      received += bytes.size();
    }
    CHECK(received <= 16'384);
    // The run goes on where it is.
    f.target_channel(0).Receive(f.Event(3) + std::string(LastChunk()));
    CHECK(f.response().ends_with("0\r\n\r\n"));
  }
}

// Guards against runs that are sent to engines which have said meanwhile that
// they leave, and that end with them: a copy takes up to some seconds.
TEST_CASE("a run is not sent to a receiver that left during the copy") {
  running_stream f;
  f.RemoveSource();
  const std::string first = f.ReceiverHost();
  f.directory.Remove(target_id(first), std::nullopt, f.scheduler.Now());
  f.target_channel(1).Receive(f.Response("200 OK", "h1"));
  REQUIRE(f.connector.channels.size() == 3);
  CHECK(f.TargetName(2) == f.source);
  CHECK(f.target_channel().written.starts_with("POST /move/r/"));
  CHECK(f.ReceiverHost() != first);
  CHECK(f.target_channel(0).open());
  f.target_channel().Receive(f.Response("200 OK", "h2"));
  f.ConfirmStop();
  CHECK(f.target_channel().written.find("Memory: h2\r\n") != std::string::npos);
}

TEST_CASE("a run is not sent to a receiver whose domain was evacuated") {
  running_stream f;
  f.AddTarget("far", "engines", "other");
  f.RemoveSource();
  f.directory.SetEvacuated({domain_id("d")});
  f.target_channel(1).Receive(f.Response("200 OK", "h1"));
  CHECK(f.ReceiverHost() == "far");
}

TEST_CASE("a run that arrives at a leaving target moves on") {
  running_stream f;
  f.RemoveSource();
  f.target_channel(1).Receive(f.Response("200 OK", "h1"));
  const std::string receiver = f.StopReceiverHost();
  f.directory.Remove(target_id(receiver), std::nullopt, f.scheduler.Now());
  f.ConfirmStop();
  REQUIRE(f.TargetName(3) == receiver);
  f.target_channel(3).Receive(f.StreamHead() + f.Event(3));
  REQUIRE(f.connector.channels.size() == 5);
  CHECK(f.TargetName(4) == receiver);
  CHECK(f.target_channel().written.starts_with("POST /move/r/"));
}

// The pattern: a process that is paused between the decision and the send.
TEST_CASE("a run is not sent when its receiver left some time ago") {
  running_stream f;
  f.RemoveSource();
  f.target_channel(1).Receive(f.Response("200 OK", "h1"));
  f.directory.Remove(target_id(f.StopReceiverHost()), std::nullopt,
                     f.scheduler.Now());
  f.scheduler.Pause(milliseconds(3000));
  f.ConfirmStop();
  REQUIRE(f.connector.channels.size() == 4);
  CHECK(f.target_channel().written.starts_with("DELETE /copy/h1"));
  CHECK(f.caller_channel->aborted);
}
