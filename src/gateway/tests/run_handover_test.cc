#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against streams that the instance cuts although their targets are
// sound: it has told the source to stop the run, and the receiver does not take
// it.

using namespace wist;

namespace {

struct moving_stream : exchange_fixture {
  explicit moving_stream(bool is_backed_up = false) {
    AddTarget("far", "engines", "other");
    if (is_backed_up)
      SendLongStreamRequest();
    else
      SendStreamRequest();
    source = TargetName(0);
    target_channel(0).Receive(StreamHead() + Event(1) + Event(2));
  }

  // The source leaves, and the first copy is complete.
  void RequestStop() {
    directory.Remove(target_id(source), std::nullopt, scheduler.Now());
    target_channel().Receive(Response("200 OK", "first"));
    stop = connector.channels.back();
    REQUIRE(stop->written.starts_with("POST /stop/"));
  }

  void EndSource() { target_channel(0).End(channel_end::closed); }

  void Refuse() {
    target_channel().Receive(Response("503 Full", "", "Not-Run: 1\r\n"));
  }

  // Whether the latest call continues the run at `target` from `handle`.
  bool Continues(const std::string& target, const std::string& handle) {
    return connector.addresses.back().host == target &&
           target_channel().written.find("Memory: " + handle + "\r\n") !=
               std::string::npos;
  }

  // Whether some call continues the run at `target` from `handle`.
  bool ContinuesAnywhere(const std::string& target,
                         const std::string& handle) const {
    for (std::size_t i = 0; i < connector.channels.size(); ++i) {
      const std::string& written = connector.channels[i]->written;
      if (connector.addresses[i].host == target &&
          written.starts_with("POST /stream/") &&
          written.find("Memory: " + handle + "\r\n") != std::string::npos)
        return true;
    }
    return false;
  }

  // The receiver that the request to stop the run names.
  std::string StopReceiver() const {
    const std::size_t from = std::string("POST /stop/r/").size();
    return stop->written.substr(from, stop->written.find(' ', from) - from);
  }

  void CheckIsCompletedAfter(int last_event) {
    target_channel().Receive(StreamHead() + Event(last_event + 1) +
                             std::string(LastChunk()));
    CHECK(response().ends_with("0\r\n\r\n"));
    for (int id = 1; id <= last_event + 1; ++id) {
      const std::string line = "id: " + std::to_string(id) + "\n";
      CHECK(ResponseContains(line));
      CHECK(response().find(line) == response().rfind(line));
    }
  }

  std::size_t CountRequests(const std::string& start) const {
    std::size_t count = 0;
    for (const auto& channel : connector.channels)
      count += channel->written.starts_with(start) ? 1 : 0;
    return count;
  }

  std::string source;
  std::shared_ptr<scripted_channel> stop;
};

}  // namespace

// The pattern: the receiver refuses the run, and the source, which was told to
// stop it, has seconds left.
TEST_CASE("a refused run goes on at the source that kept its memory") {
  moving_stream f;
  f.RequestStop();
  f.EndSource();
  f.Refuse();
  CHECK(f.caller_channel->open());
  f.stop->Receive(f.Response("503 Full", "kept"));
  REQUIRE(f.Continues(f.source, "kept"));
  f.CheckIsCompletedAfter(2);
}

TEST_CASE("a refused run waits for the copy that the stop makes") {
  moving_stream f;
  f.RequestStop();
  f.scheduler.Advance(milliseconds(100));
  const std::string receiver = f.connector.addresses.back().host;
  REQUIRE(f.Continues(receiver, "first"));
  f.Refuse();
  f.scheduler.Advance(milliseconds(631));
  CHECK(f.caller_channel->open());
  f.stop->Receive(f.Response("200 OK", "second"));
  REQUIRE(f.Continues(receiver, "second"));
  f.CheckIsCompletedAfter(2);
}

TEST_CASE("a run whose receiver accepts no connection goes on at its source") {
  moving_stream f;
  f.RequestStop();
  f.stop->Receive(f.Response("200 OK", "first"));
  f.target_channel().End(channel_end::connect_failed);
  REQUIRE(f.Continues(f.source, "first"));
  f.CheckIsCompletedAfter(2);
}

TEST_CASE("a run that its receiver fails goes on at its source") {
  moving_stream f;
  f.RequestStop();
  f.stop->Receive(f.Response("503 Full", "first"));
  f.target_channel().Receive(f.Response("500 Error", ""));
  REQUIRE(f.Continues(f.source, "first"));
  f.CheckIsCompletedAfter(2);
}

TEST_CASE("a refused run whose source has dropped it uses its backup") {
  moving_stream f(/*is_backed_up=*/true);
  f.RequestStop();
  f.ConfirmStop();
  f.Refuse();
  REQUIRE(f.Continues("far", "r"));
  f.CheckIsCompletedAfter(2);
}

// A target that has left for long may not be sent requests any more.
TEST_CASE("a run does not return to a source whose notice is old") {
  moving_stream f;
  f.RequestStop();
  for (int i = 0; i < 20; ++i) {
    f.scheduler.Advance(milliseconds(50));
    f.target_channel(0).Receive(f.Event(3 + i));
  }
  f.stop->Receive(f.Response("503 Full", "kept"));
  f.Refuse();
  CHECK(f.caller_channel->aborted);
}

TEST_CASE("a run is given up when every copy of it was refused") {
  moving_stream f;
  f.RequestStop();
  f.stop->Receive(f.Response("503 Full", "first"));
  f.Refuse();
  REQUIRE(f.Continues(f.source, "first"));
  f.Refuse();
  CHECK(f.caller_channel->aborted);
  CHECK(f.logger.LastField("request", "reason") == "receiver_refused");
}

TEST_CASE("the events of a run are forwarded until it is stopped") {
  moving_stream f;
  f.RequestStop();
  f.scheduler.Advance(milliseconds(90));
  f.target_channel(0).Receive(f.Event(3));
  f.scheduler.Advance(milliseconds(90));
  f.target_channel(0).Receive(f.Event(4));
  CHECK(f.ResponseContains("id: 4\n"));
  f.EndSource();
  CHECK(f.target_channel().written.find("After: 4\r\n") != std::string::npos);
  f.CheckIsCompletedAfter(4);
}

TEST_CASE("a run that ends while it is told to stop is complete") {
  moving_stream f;
  f.RequestStop();
  f.stop->Receive(f.Response("404 Not Found", ""));
  f.target_channel(0).Receive(f.Event(3) + std::string(LastChunk()));
  CHECK(f.response().ends_with("0\r\n\r\n"));
  CHECK(f.CountRequests("DELETE /copy/first") == 1);
  CHECK(f.CountRequests("POST /stream/") == 1);
}

// The source may be busy with copies of other runs, or of this one.
TEST_CASE("a run whose stop is refused goes on at its source") {
  moving_stream f;
  f.RequestStop();
  f.stop->Receive(f.Response("409 Conflict", ""));
  f.scheduler.Advance(milliseconds(59));
  CHECK(f.CountRequests("POST /stream/") == 1);
  f.target_channel(0).Receive(f.Event(3));
  CHECK(f.ResponseContains("id: 3\n"));
  f.scheduler.Advance(milliseconds(1));
  REQUIRE(f.CountRequests("POST /stop/") == 2);
  f.target_channel().Receive(f.Response("200 OK", "second"));
  REQUIRE(f.target_channel().written.find("Memory: second\r\n") !=
          std::string::npos);
  f.CheckIsCompletedAfter(3);
}

// Guards against a stream that a stop has cut and that looks complete.
TEST_CASE("a stopped stream that ends with its channel is not complete") {
  exchange_fixture f;
  f.SendStreamRequest();
  const std::string source = f.TargetName(0);
  f.target_channel(0).Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\n\r\n"
      "id: 1\ndata: x\n\n");
  f.directory.Remove(target_id(source), std::nullopt, f.scheduler.Now());
  f.target_channel(1).Receive(f.Response("200 OK", "first"));
  const auto stop = f.connector.channels.back();
  f.target_channel(0).End(channel_end::closed);
  CHECK_FALSE(f.response().ends_with("0\r\n\r\n"));
  stop->Receive(f.Response("200 OK", "second"));
  CHECK(f.target_channel().written.find("Memory: second\r\n") !=
        std::string::npos);
}

// A malformed response does not state whether the run goes on.
TEST_CASE("a source that sends malformed bytes is stopped before the move") {
  moving_stream f;
  f.RequestStop();
  f.target_channel(0).Receive("no chunk\r\n");
  CHECK(f.CountRequests("POST /stream/") == 1);
  f.stop->Receive(f.Response("200 OK", "second"));
  REQUIRE(f.target_channel().written.find("Memory: second\r\n") !=
          std::string::npos);
  f.CheckIsCompletedAfter(2);
}

// Guards against the same at the receiver, whose stream ends before it has sent
// any event.
TEST_CASE("a continued stream without events is not completed by its channel") {
  moving_stream f;
  f.RequestStop();
  f.ConfirmStop();
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\n\r\n");
  f.target_channel().End(channel_end::closed);
  CHECK_FALSE(f.response().ends_with("0\r\n\r\n"));
  CHECK(f.caller_channel->aborted);
}

// Guards against an instance that ends by itself when a response to a stop
// can't be processed.
TEST_CASE("a stop response that can't be processed ends no instance") {
  moving_stream f;
  f.RequestStop();
  CHECK_THROWS(f.stop->Receive(f.Response("200 OK", "second", "Pause: x\r\n")));
  f.scheduler.Advance(milliseconds(100));
  CHECK(f.CountRequests("POST /stop/") == 2);
}

// Guards against a run that hangs until its deadline although its copy is at
// the receiver: the source refuses the stop once and is cut off afterwards.
TEST_CASE("a run whose source is cut off after it refused the stop goes on") {
  moving_stream f;
  f.RequestStop();
  const std::string receiver = f.StopReceiver();
  f.stop->Receive(f.Response("409 Conflict", ""));
  f.scheduler.Advance(milliseconds(60));
  REQUIRE(f.CountRequests("POST /stop/") == 2);
  SECTION("it accepts no connection") {
    f.target_channel().End(channel_end::connect_failed);
  }
  SECTION("it does not respond") {}
  f.scheduler.Advance(milliseconds(110));
  REQUIRE(f.ContinuesAnywhere(receiver, "first"));
}

// Guards against a run that is not moved at all since one request for its copy
// got no response, while its source has seconds left.
TEST_CASE("a copy request without a response is repeated") {
  moving_stream f;
  f.directory.Remove(target_id(f.source), std::nullopt, f.scheduler.Now());
  REQUIRE(f.CountRequests("POST /move/") == 1);
  SECTION("the source accepts no connection") {
    f.target_channel().End(channel_end::connect_failed);
  }
  SECTION("the connection breaks") {
    f.target_channel().End(channel_end::reset);
  }
  f.scheduler.Advance(milliseconds(100));
  CHECK(f.CountRequests("POST /move/") == 2);
  f.target_channel().Receive(f.Response("200 OK", "first"));
  CHECK(f.CountRequests("POST /stop/") == 1);
}

// Guards against a stream that is cut although its source kept the run's
// memory: the receiver breaks off before its first event.
TEST_CASE("a run whose receiver breaks off at once goes on at its source") {
  moving_stream f;
  f.RequestStop();
  f.stop->Receive(f.Response("503 Full", "kept"));
  SECTION("its channel breaks") {
    f.target_channel().End(channel_end::reset);
  }
  SECTION("its response is invalid") {
    f.target_channel().Receive(f.Response("200 OK", "", ""));
  }
  CHECK(f.CountRequests("POST /stop/") == 2);
  REQUIRE(f.Continues(f.source, "kept"));
  f.CheckIsCompletedAfter(2);
}

TEST_CASE("a run is given up when every target that held it broke off") {
  moving_stream f;
  f.RequestStop();
  f.stop->Receive(f.Response("503 Full", "kept"));
  f.target_channel().End(channel_end::reset);
  REQUIRE(f.Continues(f.source, "kept"));
  f.target_channel().End(channel_end::reset);
  CHECK(f.caller_channel->aborted);
  CHECK(f.logger.LastField("request", "reason") == "target_ended_stream");
}

// Guards against a stream that is cut since its source did not accept one
// connection, though it keeps the run's memory and is asked again.
TEST_CASE("a refused run waits for a source that was unreachable once") {
  moving_stream f;
  f.RequestStop();
  f.EndSource();
  f.stop->End(channel_end::connect_failed);
  f.Refuse();
  CHECK(f.caller_channel->open());
  f.scheduler.Advance(milliseconds(60));
  REQUIRE(f.CountRequests("POST /stop/") == 2);
  SECTION("it has the run") {
    f.target_channel().Receive(f.Response("503 Full", "kept"));
    REQUIRE(f.Continues(f.source, "kept"));
    f.CheckIsCompletedAfter(2);
  }
  SECTION("it has dropped the run") {
    f.target_channel().Receive(f.Response("404 Not Found", ""));
    CHECK(f.caller_channel->aborted);
  }
  SECTION("it stays unreachable") {
    while (f.CountRequests("POST /stop/") < 16) {
      CHECK(f.caller_channel->open());
      f.target_channel().End(channel_end::connect_failed);
      f.scheduler.Advance(milliseconds(60));
    }
    f.target_channel().End(channel_end::connect_failed);
    CHECK(f.caller_channel->aborted);
  }
}

// Guards against a run that two targets work on: its source refuses to be
// stopped, and sends events at intervals that are longer than the wait.
TEST_CASE("a run whose stop is refused to the last stays at its source") {
  moving_stream f;
  f.RequestStop();
  const std::string receiver = f.StopReceiver();
  f.stop->Receive(f.Response("409 Conflict", ""));
  int last_event = 2;
  for (int i = 0; i < 40; ++i) {
    f.scheduler.Advance(milliseconds(60));
    if (f.target_channel().written.starts_with("POST /stop/"))
      f.target_channel().Receive(f.Response("409 Conflict", ""));
    if (i % 3 == 0)
      f.target_channel(0).Receive(f.Event(++last_event));
  }
  CHECK(f.CountRequests("POST /stop/") == 16);
  CHECK(f.CountRequests("POST /stream/") == 1);
  REQUIRE(f.target_channel(0).open());
  SECTION("it ends there") {
    f.target_channel(0).Receive(std::string(LastChunk()));
    CHECK(f.response().ends_with("0\r\n\r\n"));
  }
  SECTION("its source ends") {
    f.EndSource();
    REQUIRE(f.Continues(receiver, "first"));
    f.CheckIsCompletedAfter(last_event);
  }
  SECTION("its source sends malformed bytes") {
    f.target_channel(0).Receive("no chunk\r\n");
    f.scheduler.Advance(milliseconds(100));
    REQUIRE(f.Continues(receiver, "first"));
    f.CheckIsCompletedAfter(last_event);
  }
}

// Guards against streams that are cut after the process stood still, as while
// it applies a large configuration: the request to stop the run was not sent
// yet, and the source drops a run whose connection closes.
TEST_CASE("a pause of the process does not count as silence of the source") {
  moving_stream f;
  f.RequestStop();
  f.scheduler.Pause(milliseconds(400));
  f.scheduler.Advance(milliseconds(1));
  CHECK_FALSE(f.target_channel(0).aborted);
  f.stop->Receive(f.Response("200 OK", "second"));
  const std::string receiver = f.connector.addresses.back().host;
  REQUIRE(f.Continues(receiver, "second"));
  f.CheckIsCompletedAfter(2);
}

TEST_CASE("the wait for a stop is bounded although the process stands still") {
  moving_stream f;
  f.RequestStop();
  for (int i = 0; i < 2; ++i) {
    f.scheduler.Pause(milliseconds(400));
    f.scheduler.Advance(milliseconds(1));
  }
  CHECK(f.target_channel(0).aborted);
}
