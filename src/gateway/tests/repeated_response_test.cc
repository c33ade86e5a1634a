#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against responses that targets send twice, the second time late, and
// that are taken for the response to another request or for a part of it.

using namespace wist;

namespace {

struct two_requests : exchange_fixture {
  void Send(const std::string& path, const std::string& id) {
    scheduler.Advance(milliseconds(0));
    caller_channel->written.clear();
    caller_channel->Receive(Request(path, id));
  }

  static std::string Request(const std::string& path, const std::string& id) {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
           "\r\nKey: k\r\nTokens: 1000\r\nContent-Length: 2\r\n\r\nhi";
  }

  // Request "r" has its response, and "s" is sent on the same connection to the
  // same target.
  void ReuseChannel(const std::string& path) {
    settings.retry_slack = 100;
    // The other target would be chosen in turn.
    directory.Remove(target_id("p2"), std::nullopt, scheduler.Now());
    Send(path, "r");
    target_channel().Receive(Response("200 OK", "first"));
    REQUIRE(ResponseContains("first"));
    Send(path, "s");
    REQUIRE(connector.channels.size() == 1);
  }

  static std::string OwnResponse() {
    return "HTTP/1.1 200 OK\r\nId: s\r\nSigned: 1\r\n"
           "Content-Length: 6\r\n\r\nsecond";
  }

  bool HasStatedNothing() {
    return logger.Count("target_pauses") == 0 &&
           logger.Count("target_states_leaving") == 0;
  }
};

// Late responses to request "r" that state something.
std::vector<std::string> LateResponses() {
  const std::string states =
      "Id: r\r\nSigned: 1\r\nLeaving: 1\r\nPause: 2000\r\nBrittle: 1\r\n";
  std::vector<std::string> late;
  for (const char* status :
       {"200 OK", "500 Failed", "503 Full", "421 Misdirected"}) {
    for (const char* lines : {"", "Not-Run: 1\r\n"}) {
      const std::string head =
          std::string("HTTP/1.1 ") + status + "\r\n" + states + lines;
      late.push_back(head + "Content-Length: 5\r\n\r\nfirst");
      late.push_back(head + "Content-Length: 0\r\n\r\n");
      late.push_back(head + "Events: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     EncodeChunk("first") + std::string(LastChunk()));
    }
  }
  late.push_back("HTTP/1.1 204 None\r\n" + states + "\r\n");
  return late;
}

const char* const kPlainPaths[] = {"/once/x", "/again/x"};

}  // namespace

// Guards against the response to the request before it on the connection
// (MIXED), whole or in parts, and against what that states: a refusal, a pause,
// a shutdown.
TEST_CASE("a repeated response before the next one on its connection is none") {
  for (const std::string path : kPlainPaths) {
    for (const std::string& late : LateResponses()) {
      for (const std::string& repeated : {late, late + late + late}) {
        const std::string bytes = repeated + two_requests::OwnResponse();
        for (std::size_t size = 0; size < bytes.size(); ++size) {
          two_requests f;
          f.ReuseChannel(path);
          f.target_channel().Receive(bytes.substr(0, size));
          f.target_channel().Receive(bytes.substr(size));
          const bool is_own = f.response().starts_with("HTTP/1.1 200") &&
                              f.response().ends_with("second") &&
                              !f.ResponseContains("first") &&
                              f.HasStatedNothing();
          const bool was_reused = f.target_channel(0).open();
          f.Send(path, "t");
          if (!is_own || was_reused || f.connector.channels.size() != 2)
            FAIL_CHECK(path << " split after " << size << ": " << bytes);
        }
      }
    }
  }
}

// Guards against a repeated response that ends with the connection, which has
// the next response in its body.
TEST_CASE("a repeated response without length is not passed on") {
  for (const std::string path : kPlainPaths) {
    for (const channel_end end : {channel_end::closed, channel_end::reset}) {
      two_requests f;
      f.ReuseChannel(path);
      f.AddTarget("p3", "desk");
      f.target_channel().Receive(
          "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nLeaving: 1\r\n\r\nfirst" +
          f.OwnResponse());
      CHECK(f.response().empty());
      f.target_channel().End(end);
      CHECK(f.HasStatedNothing());
      if (path.starts_with("/once")) {
        CHECK(f.response().starts_with("HTTP/1.1 502"));
        CHECK(f.connector.channels.size() == 1);
        continue;
      }
      REQUIRE(f.connector.channels.size() == 2);
      CHECK(f.TargetName(1) == "p3");
      f.target_channel(1).Receive(f.OwnResponse());
      CHECK(f.response().ends_with("second"));
    }
  }
}

// Guards against a body that has pieces of a repeated response (MIXED): the
// framing of a response in chunks shows them wherever they begin.
TEST_CASE("a repeated response inside a chunked body breaks it") {
  const std::string event = "id: 1\ndata: own\n\n";
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: s\r\nSigned: 1\r\nEvents: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const std::string body =
      EncodeChunk(event) + EncodeChunk("id: 2\ndata: own\n\n");
  const std::string late =
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      EncodeChunk("id: 2\ndata: first\n\n") + std::string(LastChunk());
  for (const std::string path : {"/once/x", "/again/x", "/stream/x"}) {
    for (std::size_t size = 0; size < body.size(); ++size) {
      INFO(path << " after " << size << " bytes of the body");
      two_requests f;
      if (path.starts_with("/stream"))
        f.Send(path, "s");
      else
        f.ReuseChannel(path);
      f.target_channel().Receive(head + body.substr(0, size));
      f.target_channel().Receive(late);
      f.target_channel().Receive(body.substr(size) + std::string(LastChunk()));
      CHECK_FALSE(f.ResponseContains("first"));
      CHECK_FALSE(f.ResponseContains("Id: r"));
      CHECK((f.caller_channel->aborted ||
             f.response().starts_with("HTTP/1.1 502") ||
             f.connector.channels.size() == 2));
    }
  }
}

// Guards against events of a repeated response in one large chunk, where the
// framing shows nothing until the chunk ends.
TEST_CASE("a repeated response between two events of a chunk breaks it") {
  two_requests f;
  f.Send("/stream/x", "s");
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: s\r\nSigned: 1\r\nEvents: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n1000\r\nid: 1\ndata: own\n\n");
  CHECK(f.ResponseContains("own"));
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nEvents: 1\r\n\r\nid: 2\ndata: first\n\n");
  CHECK_FALSE(f.ResponseContains("first"));
  CHECK(f.caller_channel->aborted);
}

// Guards against a repeated response that is taken for that of the next attempt
// (MIXED): another target has the address, and the request the same id.
TEST_CASE("a second attempt at the same address uses a new connection") {
  for (const std::string status : {"500 Failed", "503 Full"}) {
    INFO(status);
    exchange_fixture f;
    f.settings.retry_slack = 100;
    f.directory.Remove(target_id("p2"), std::nullopt, f.scheduler.Now());
    f.SendRequest("/again/x");
    target_entry entry;
    entry.id = target_id("p3");
    entry.service = service_id("desk");
    entry.address = {"p1", 80};
    entry.domain = domain_id("d");
    entry.slots = 8;
    entry.sequence = 1;
    f.directory.Upsert(entry, f.scheduler.Now());
    f.target_channel().Receive(
        f.Response(status, "no", status == "503 Full" ? "Not-Run: 1\r\n" : ""));
    CHECK(f.connector.channels.size() == 2);
  }
}

// Guards against a second attempt whose response could be the first one's
// (MIXED): both have the same id, so only the target tells them apart.
TEST_CASE("a request is not sent again to a target that had it") {
  enum class first_end { slow, failed, broken, refused };
  for (const first_end end : {first_end::slow, first_end::failed,
                              first_end::broken, first_end::refused}) {
    INFO(static_cast<int>(end));
    two_requests f;
    f.settings.retry_slack = 100;
    // Idle connections to both targets.
    for (const char* id : {"a", "b", "c", "d"}) {
      f.Send("/again/x", id);
      f.target_channel().Receive("HTTP/1.1 200 OK\r\nId: " + std::string(id) +
                                 "\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n");
    }
    for (auto& channel : f.connector.channels)
      channel->written.clear();
    f.Send("/again/x", "r");
    std::set<std::string> targets;
    for (int attempt = 0; attempt < 4; ++attempt) {
      std::size_t index = 0;
      while (index < f.connector.channels.size() &&
             f.target_channel(index).written.empty())
        ++index;
      if (index == f.connector.channels.size())
        break;
      CHECK(targets.insert(f.TargetName(index)).second);
      f.target_channel(index).written.clear();
      if (end == first_end::slow)
        f.scheduler.Advance(milliseconds(900));
      else if (end == first_end::failed)
        f.target_channel(index).Receive(f.Response("500 Failed", "no"));
      else if (end == first_end::broken)
        f.target_channel(index).End(channel_end::reset);
      else
        f.target_channel(index).Receive(
            f.Response("503 Full", "", "Not-Run: 1\r\n"));
    }
    CHECK(targets.size() == 2);
  }
}

// Guards against bytes of one response in the next one on the caller's
// connection, or after a stream that was broken off.
TEST_CASE("late bytes of a target do not reach the caller's next response") {
  for (const bool is_complete : {true, false}) {
    for (const bool is_one_read : {true, false}) {
      two_requests f;
      f.caller_channel->Receive(f.Request("/stream/x", "r") +
                                f.Request("/once/x", "s"));
      const std::string late = f.Event(2) + f.Response("200 OK", "late");
      const std::string end =
          is_complete ? std::string(LastChunk()) : "no chunk\r\n";
      f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
      f.target_channel(0).Receive(end + (is_one_read ? late : ""));
      f.scheduler.Advance(milliseconds(0));
      f.target_channel(0).Receive(late);
      CHECK_FALSE(f.target_channel(0).open());
      CHECK_FALSE(f.ResponseContains("late"));
      CHECK_FALSE(f.ResponseContains("id: 2"));
      if (!is_complete) {
        CHECK(f.caller_channel->aborted);
        CHECK(f.connector.channels.size() == 1);
        continue;
      }
      REQUIRE(f.connector.channels.size() == 2);
      const std::size_t size = f.response().size();
      CHECK(f.response().ends_with(LastChunk()));
      f.target_channel(0).Receive(late);
      f.target_channel(1).Receive(f.OwnResponse());
      CHECK(f.response().substr(size).starts_with("HTTP/1.1 200"));
      CHECK(f.response().ends_with("second"));
      CHECK_FALSE(f.ResponseContains("late"));
    }
  }
}

// Guards against a response about one copy that is taken for that about the
// next one: such responses have no id, so that only new connections tell them
// apart.
TEST_CASE("copy, stop and release requests are sent on new connections") {
  two_requests f;
  // Idle connections to all engines.
  std::set<std::string> engines;
  for (int i = 0; i < 40 && engines.size() < 3; ++i) {
    f.Send("/stream/x", "r");
    engines.insert(f.TargetName(f.connector.channels.size() - 1));
    f.target_channel().Receive(f.StreamHead() + f.Event(1) +
                               std::string(LastChunk()));
  }
  REQUIRE(engines.size() == 3);
  f.Send("/stream/x", "r");
  const std::size_t first = f.connector.channels.size();
  f.target_channel().Receive(f.StreamHead() + f.Event(1));
  f.directory.Remove(target_id(f.TargetName(first - 1)), std::nullopt,
                     f.scheduler.Now());
  REQUIRE(f.connector.channels.size() == first + 1);
  CHECK(f.target_channel().written.starts_with("POST /move/"));
  f.target_channel().Receive(f.Response("200 OK", "first"));
  REQUIRE(f.connector.channels.size() == first + 2);
  CHECK(f.target_channel().written.starts_with("POST /stop/"));
  // The run ends before it is stopped, and the copy is released.
  f.target_channel().Receive(f.Response("404 Not Found", ""));
  f.target_channel(first - 1).Receive(std::string(LastChunk()));
  REQUIRE(f.connector.channels.size() == first + 3);
  CHECK(f.target_channel().written.starts_with("DELETE /copy/first"));
  for (std::size_t i = 0; i < first; ++i)
    CHECK(f.target_channel(i).written.rfind("POST") == 0);
}

// Guards against events of a run's source after those of its receiver.
TEST_CASE("late events of a run's source are not passed on") {
  two_requests f;
  f.SendStreamRequest();
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  f.directory.Remove(target_id(f.TargetName(0)), std::nullopt,
                     f.scheduler.Now());
  f.target_channel(1).Receive(f.Response("200 OK", "first"));
  // The source has stopped the run, and its stream is open still.
  f.target_channel(2).Receive(f.Response("200 OK", "second"));
  REQUIRE(f.connector.channels.size() == 4);
  f.target_channel(3).Receive(f.StreamHead() + f.Event(2));
  f.target_channel(0).Receive(f.Event(9) + std::string(LastChunk()));
  CHECK_FALSE(f.ResponseContains("id: 9"));
  f.target_channel(3).Receive(f.Event(3) + std::string(LastChunk()));
  CHECK(f.ResponseContains("id: 3"));
  CHECK(f.response().ends_with(LastChunk()));
}
