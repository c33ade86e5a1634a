#include <catch2/catch.hpp>

#include <optional>

#include "framework/net/i_http_caller.h"
#include "framework/net/tests/mocks/scripted_connector.h"
#include "framework/net/tests/mocks/virtual_scheduler.h"

using namespace wist;

namespace {

const http_address kAddress{"10.0.0.1", 80};

struct fixture {
  std::shared_ptr<i_http_call> Call(const std::string& id = "") {
    outcome.reset();
    body.clear();
    status = 0;
    ids.clear();
    call_callbacks callbacks;
    if (!id.empty()) {
      callbacks.matches_call = [id](const http_response_head& head,
                                    bool may_be_old) {
        const auto response_id = head.Header("Id");
        return response_id == id || (response_id.empty() && !may_be_old);
      };
    }
    callbacks.on_head = [this](const http_response_head& head) {
      status = head.status;
      for (const http_header& header : head.headers) {
        if (header.name == "Id")
          ids.push_back(header.value);
      }
    };
    callbacks.on_body = [this](std::string bytes) { body += bytes; };
    callbacks.on_done = [this](call_outcome result) { outcome = result; };
    return caller->Call(kAddress, method + " / HTTP/1.1\r\n\r\n", {},
                        std::move(callbacks));
  }

  scripted_channel& channel(std::size_t index) {
    return *connector.channels.at(index);
  }

  virtual_scheduler scheduler;
  scripted_connector connector;
  std::vector<std::string> broken_rules;
  std::unique_ptr<i_http_caller> caller =
      MakeHttpCaller(connector,
                     scheduler,
                     [this](const invalid_response& response) {
                       broken_rules.push_back(response.rule);
                     });
  std::optional<call_outcome> outcome;
  std::string body;
  int status = 0;
  std::vector<std::string> ids;
  std::string method = "GET";
};

const std::string kResponse =
    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok";

}  // namespace

// A server in trouble may send a head without end.
TEST_CASE("a head without end is given up before it fills the memory") {
  fixture f;
  f.Call();
  f.channel(0).Receive("HTTP/1.1 200 OK\r\n");
  const std::string line = "X: " + std::string(997, 'x') + "\r\n";
  int count = 0;
  while (!f.outcome && count < 1000) {
    f.channel(0).Receive(line);
    ++count;
  }
  REQUIRE(f.outcome);
  CHECK(f.outcome->end == call_end::malformed);
  CHECK(f.channel(0).aborted);
  CHECK(count <= 100);

  fixture no_line;
  no_line.Call();
  for (count = 0; !no_line.outcome && count < 1000; ++count)
    no_line.channel(0).Receive(std::string(1000, 'x'));
  CHECK(no_line.outcome);
  CHECK(count <= 100);
}

TEST_CASE("a chunk header without end is given up as well") {
  for (const std::string first : {"5;", "", "5\r\nhello\r\n0\r\nX: "}) {
    fixture f;
    f.Call();
    f.channel(0).Receive(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + first);
    int count = 0;
    for (; !f.outcome && count < 1000; ++count)
      f.channel(0).Receive(std::string(1000, '1'));
    CHECK(f.outcome);
    CHECK(count <= 100);
  }
}

TEST_CASE("a channel is reused for the next call") {
  fixture f;
  f.Call();
  f.channel(0).Receive(kResponse);
  REQUIRE(f.outcome);
  CHECK(f.outcome->end == call_end::complete);
  CHECK(f.body == "ok");
  f.Call();
  CHECK(f.connector.channels.size() == 1);
}

TEST_CASE("a channel that has been idle for too long is not reused") {
  fixture f;
  f.Call();
  f.channel(0).Receive(kResponse);
  f.scheduler.Advance(milliseconds(1100));
  f.Call();
  CHECK(f.connector.channels.size() == 2);
}

// The time in milliseconds is out of range.
TEST_CASE("a keep-alive timeout beyond all bounds counts as a long one") {
  for (const char* timeout :
       {"9223372036854775807", "9223372036854776", "100000"}) {
    INFO(timeout);
    fixture f;
    f.Call();
    f.channel(0).Receive(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + std::string(timeout) +
        "\r\nContent-Length: 0\r\n\r\n");
    f.Call();
    CHECK(f.connector.channels.size() == 1);
  }
}

TEST_CASE("a channel is not reused after Connection: close or surplus bytes") {
  fixture f;
  f.Call();
  f.channel(0).Receive(
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  f.Call();
  CHECK(f.connector.channels.size() == 2);
  f.channel(1).Receive(kResponse + "HTTP/1.1 200 OK\r\n");
  CHECK(f.body == "ok");
  CHECK(f.broken_rules == std::vector<std::string>{"surplus_bytes"});
  CHECK(f.channel(1).aborted);
  f.Call();
  CHECK(f.connector.channels.size() == 3);
}

TEST_CASE("bytes received on an idle channel abort it") {
  fixture f;
  f.Call();
  f.channel(0).Receive(kResponse);
  CHECK(f.broken_rules.empty());
  f.channel(0).Receive(kResponse);
  CHECK(f.channel(0).aborted);
  CHECK(f.broken_rules == std::vector<std::string>{"surplus_bytes"});
  f.Call();
  CHECK(f.connector.channels.size() == 2);
}

TEST_CASE("a response to another call is discarded") {
  fixture f;
  f.Call("b");
  f.channel(0).Receive(kResponse);
  CHECK_FALSE(f.outcome);
  CHECK(f.broken_rules == std::vector<std::string>{"other_request"});
  f.channel(0).Receive(
      "HTTP/1.1 201 Created\r\nId: b\r\nContent-Length: 4\r\n\r\nmine");
  REQUIRE(f.outcome);
  CHECK(f.status == 201);
  CHECK(f.body == "mine");
  f.Call();
  CHECK(f.connector.channels.size() == 2);
}

// Guards against a refusal that a server writes once more when the channel is
// in use again.
TEST_CASE("a response that may be an earlier one is distinguished") {
  const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  fixture f;
  f.Call("a");
  f.channel(0).Receive(refusal);
  REQUIRE(f.outcome);
  CHECK(f.status == 503);
  f.Call("b");
  REQUIRE(f.connector.channels.size() == 1);
  f.channel(0).Receive(refusal);
  CHECK_FALSE(f.outcome);
  f.channel(0).Receive(
      "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\nmine");
  REQUIRE(f.outcome);
  CHECK(f.status == 200);
  CHECK(f.body == "mine");
}

// Guards against the response of an earlier call that has no id, and is taken
// for the one that is due: after a discarded response nothing tells them apart.
TEST_CASE("a response without an id is none after a discarded one") {
  const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
  const std::string own =
      "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\nmine";
  for (const bool is_reused : {true, false}) {
    for (const std::string& old :
         {unnamed, kResponse + unnamed, unnamed + kResponse + unnamed}) {
      const std::string bytes = (is_reused ? "" : kResponse) + old + own;
      for (std::size_t size = 0; size < bytes.size(); ++size) {
        fixture f;
        if (is_reused) {
          f.Call("a");
          f.channel(0).Receive(kResponse);
        }
        f.Call("b");
        f.channel(0).Receive(bytes.substr(0, size));
        CHECK_FALSE(f.outcome);
        f.channel(0).Receive(bytes.substr(size));
        REQUIRE(f.outcome);
        CHECK(f.outcome->end == call_end::complete);
        CHECK(f.body == "mine");
        CHECK_FALSE(f.channel(0).open());
        f.Call("c");
        CHECK(f.connector.channels.size() == 2);
      }
    }
  }
}

// Guards against a discarded response whose body is read by the rules of the
// other method, so that bytes of it are taken for a response.
TEST_CASE("a response is read by the rules of the call that it is taken for") {
  const std::string head_response =
      "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 20\r\n\r\n";
  const std::string own =
      "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\n";
  for (const bool is_head_request : {true, false}) {
    fixture f;
    f.method = is_head_request ? "GET" : "HEAD";
    f.Call("a");
    f.channel(0).Receive(head_response +
                         (is_head_request ? std::string(20, 'x') : ""));
    REQUIRE(f.outcome);
    f.method = is_head_request ? "HEAD" : "GET";
    f.Call("b");
    REQUIRE(f.connector.channels.size() == 1);
    f.channel(0).Receive(head_response +
                         (is_head_request ? std::string(20, 'x') : "") + own +
                         (is_head_request ? "" : "mine"));
    REQUIRE(f.outcome);
    CHECK(f.outcome->end == call_end::malformed);
    CHECK(f.status == 0);
    CHECK(f.body.empty());
    CHECK(f.channel(0).aborted);
  }
}

// Guards against a head made of two: a second response begins inside the head
// of the next one. Either it is no head, or it names both calls.
TEST_CASE("a repeated response inside a head is no response to one call") {
  const std::string own_head =
      "HTTP/1.1 200 OK\r\nX: 1\r\nId: b\r\nY: 1\r\nContent-Length: 4\r\n\r\n";
  for (std::size_t size = 1; size < own_head.size(); ++size) {
    INFO(size);
    fixture f;
    f.Call("a");
    f.channel(0).Receive(kResponse);
    f.Call("b");
    f.channel(0).Receive(own_head.substr(0, size) + kResponse +
                         own_head.substr(size) + "mine");
    f.channel(0).End(channel_end::closed);
    const bool is_complete = f.outcome && f.outcome->end == call_end::complete;
    const bool names_both = f.ids == std::vector<std::string>{"b", "a"};
    CHECK((!is_complete || names_both));
  }
}

// Guards against a response that is passed on as a whole one although its
// server stopped in the middle of its head or body.
TEST_CASE("a response that is cut short anywhere is not complete") {
  const std::string with_length =
      "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nhello";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n";
  for (const std::string& whole : {with_length, chunked}) {
    for (std::size_t size = 0; size < whole.size(); ++size) {
      for (const channel_end end : {channel_end::closed, channel_end::reset}) {
        fixture f;
        f.Call("a");
        f.channel(0).Receive(whole.substr(0, size));
        f.channel(0).End(end);
        REQUIRE(f.outcome);
        CHECK(f.outcome->end != call_end::complete);
      }
    }
  }
}

// The head may end before the header that states the length.
TEST_CASE(
    "a head that is cut after a whole line is not a response without length") {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nId: a\r\n",
        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r"}) {
    fixture f;
    f.Call("a");
    f.channel(0).Receive(head);
    f.channel(0).End(channel_end::closed);
    REQUIRE(f.outcome);
    CHECK(f.outcome->end == call_end::broken);
    CHECK(f.status == 0);
  }
}

TEST_CASE(
    "bytes may have been sent on a reset channel, not on a failed connection") {
  fixture f;
  f.Call();
  f.channel(0).connected = false;
  f.channel(0).End(channel_end::connect_failed);
  CHECK(f.outcome->end == call_end::connect_failed);
  CHECK_FALSE(f.outcome->may_have_been_sent);
  f.Call();
  f.channel(1).End(channel_end::reset);
  CHECK(f.outcome->end == call_end::broken);
  CHECK(f.outcome->may_have_been_sent);
}

TEST_CASE(
    "a response without a length is complete only if the channel was closed") {
  for (const channel_end end : {channel_end::closed, channel_end::reset}) {
    fixture f;
    f.Call();
    f.channel(0).Receive("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_FALSE(f.outcome);
    f.channel(0).End(end);
    CHECK((f.outcome->end == call_end::complete) ==
          (end == channel_end::closed));
  }
}

TEST_CASE("a channel with unsent bytes of the request is not reused") {
  fixture f;
  f.Call();
  f.channel(0).unsent = 100;
  f.channel(0).Receive(kResponse);
  CHECK(f.outcome->end == call_end::complete);
  CHECK(f.channel(0).aborted);
}

TEST_CASE("a cancelled call closes its channel and reports nothing") {
  fixture f;
  const auto call = f.Call();
  call->Cancel();
  CHECK(f.channel(0).aborted);
  CHECK_FALSE(f.outcome);
}
