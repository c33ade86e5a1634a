#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

#include "framework/base/system_clock.h"
#include "framework/http/http_module.h"
#include "framework/http/tests/mocks/raw_server.h"

using namespace wist;

namespace {

constexpr seconds kTimeout{10};

// The response, or the error, of a call to a server that sends `bytes`.
struct call_result {
  std::optional<http_response> response;
  std::optional<http_error> error;
};

call_result Call(const std::string& bytes, const http_request& request = {}) {
  raw_server server(bytes);
  const std::shared_ptr<const i_clock> clock = MakeSystemClock();
  call_result result;
  try {
    result.response = MakeHttpClient(clock)->Call(server.address(), request,
                                                  clock->Now() + kTimeout);
  } catch (const http_error& error) {
    result.error = error;
  }
  return result;
}

struct stream_result {
  int status = 0;
  std::vector<std::string> lines;
  std::optional<http_error> error;
};

stream_result ReadStream(const std::string& bytes) {
  raw_server server(bytes);
  const std::shared_ptr<const i_clock> clock = MakeSystemClock();
  stream_result result;
  try {
    const auto stream = MakeHttpClient(clock)->Open(
        server.address(), {}, clock->Now() + kTimeout, kTimeout);
    result.status = stream->status();
    for (std::string line; stream->ReadLine(line);)
      result.lines.push_back(line);
  } catch (const http_error& error) {
    result.error = error;
  }
  return result;
}

const std::vector<std::string> kInvalidHeads = {
    "HTTP/1.1 000 X\r\n",
    "HTTP/1.1 -20 X\r\n",
    "HTTP/1.1 20 OK\r\n",
    "HTTP/1.1 600 X\r\n",
    "HTTP/1.1 2000 OK\r\n",
    "HTTP/1.1 2x0 OK\r\n",
    "HTTP/9.9 200 OK\r\n",
    "nonsense 200 OK\r\n",
    "\r\nHTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 O\x01K\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n",
    "HTTP/1.1 204 No Content\r\n",
    "HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
    "HTTP/1.1 200 OK\r\nX : 1\r\n",
    "HTTP/1.1 200 OK\r\n X: 1\r\n",
    "HTTP/1.1 200 OK\r\nA: b\r\n X: 1\r\n",
    "HTTP/1.1 200 OK\r\nX\x01: 1\r\n",
    "HTTP/1.1 200 OK\r\nX: \x01\r\n",
    "HTTP/1.1 200 OK\r\nno colon\r\n",
    "HTTP/1.1 200 OK\r\n: 1\r\n",
    "HTTP/1.1 200 OK\nX: 1\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: -6\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"};

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<std::string> kInvalidBodies = {
    kChunkedHead + "x\r\nsecret\r\n0\r\n\r\n",
    kChunkedHead + "6\r\nsecret!\r\n0\r\n\r\n",
    kChunkedHead + "6\r\nsecret\r\n0\r\nX Y: 1\r\n\r\n",
    kChunkedHead + "6\r\nsecret\r\n0\r\nX: 1\r\n Y: 2\r\n\r\n"};

// The connection is closed before the end of the response.
const std::vector<std::string> kIncomplete = {
    "",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nsecret",
    kChunkedHead + "6\r\nsec",
    kChunkedHead + "6\r\nsecret\r\n",
    kChunkedHead + "6\r\nsecret\r\n0\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n"};

}  // namespace

TEST_CASE("a call sends its request and returns the response") {
  raw_server server(
      "HTTP/1.1 201 Created\r\nX: a\r\nX: b\r\nContent-Length: 2\r\n\r\nok");
  const std::shared_ptr<const i_clock> clock = MakeSystemClock();
  const http_request request{.method = "POST",
                             .path = "/a?b=c",
                             .headers = {{"Y", "1"}},
                             .body = "hello"};
  const http_response response = MakeHttpClient(clock)->Call(
      server.address(), request, clock->Now() + kTimeout);
  CHECK(response.status == 201);
  CHECK(response.Header("x") == "a");
  CHECK(response.body == "ok");
  const std::string sent = server.Request();
  CHECK(server.ConnectionCount() == 1);
  CHECK(sent.starts_with("POST /a?b=c HTTP/1.1\r\n"));
  CHECK(sent.find("\r\nHost: 127.0.0.1:") != std::string::npos);
  CHECK(sent.find("\r\nY: 1\r\n") != std::string::npos);
  CHECK(sent.find("\r\nContent-Length: 5\r\n") != std::string::npos);
  CHECK(sent.find("\r\nContent-Type: application/json\r\n") !=
        std::string::npos);
}

TEST_CASE("a header of the request replaces the one that the client sets") {
  raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  const std::shared_ptr<const i_clock> clock = MakeSystemClock();
  const http_request request{.headers = {{"host", "h"}}};
  MakeHttpClient(clock)->Call(server.address(), request,
                              clock->Now() + kTimeout);
  const std::string sent = server.Request();
  CHECK(sent.find("\r\nhost: h\r\n") != std::string::npos);
  CHECK(sent.find("Host: ") == std::string::npos);
}

TEST_CASE("an invalid response is an error of a call that may have run") {
  std::vector<std::string> all = kInvalidBodies;
  for (const std::string& head : kInvalidHeads)
    all.push_back(head + "Content-Length: 6\r\n\r\nsecret");
  for (const std::string& bytes : all) {
    INFO(bytes);
    const call_result result = Call(bytes);
    CHECK_FALSE(result.response);
    REQUIRE(result.error);
    CHECK(result.error->may_have_been_sent());
    CHECK_FALSE(result.error->timed_out());
    CHECK(result.error->is_invalid_response());
  }
}

TEST_CASE("an invalid head opens no stream") {
  for (const std::string& head : kInvalidHeads) {
    INFO(head);
    const stream_result result =
        ReadStream(head + "Content-Length: 6\r\n\r\nsecret");
    CHECK(result.status == 0);
    CHECK(result.lines.empty());
    CHECK(result.error);
  }
}

TEST_CASE("an invalid body is not a complete stream") {
  for (const std::string& bytes : kInvalidBodies) {
    INFO(bytes);
    CHECK(ReadStream(bytes).error);
  }
}

// Guards against a response that is passed on as a whole one although its
// server stopped in the middle of it.
TEST_CASE("a response whose connection ends before it does is an error") {
  for (const std::string& bytes : kIncomplete) {
    INFO(bytes);
    const call_result result = Call(bytes);
    CHECK_FALSE(result.response);
    REQUIRE(result.error);
    CHECK(result.error->may_have_been_sent());
    CHECK_FALSE(result.error->is_invalid_response());
    CHECK(ReadStream(bytes).error);
  }
}

TEST_CASE("an invalid response is reported with the label of its call") {
  raw_server server("HTTP/1.1 000 X\r\n\r\n");
  const std::shared_ptr<const i_clock> clock = MakeSystemClock();
  std::vector<invalid_response> reported;
  const auto client = MakeHttpClient(
      clock,
      [&](const invalid_response& response) { reported.push_back(response); });
  const http_request request{.label = {"t", "r"}};
  CHECK_THROWS_AS(
      client->Call(server.address(), request, clock->Now() + kTimeout),
      http_error);
  CHECK(reported == std::vector<invalid_response>{{{"t", "r"}, "status_code"}});
}

TEST_CASE("unusual responses are returned byte for byte") {
  const std::string body("\0\r\n\xff", 4);
  for (const char* head :
       {"HTTP/1.1 299 \xc3\xa9t\xe9\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 \r\n\r\n",
        "HTTP/1.1 200 OK\r\nCONTENT-lENGTH:4\r\nZ: \xff\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\n"}) {
    INFO(head);
    const call_result result = Call(head + body);
    REQUIRE(result.response);
    CHECK(result.response->body == body);
  }
  const call_result chunked =
      Call(kChunkedHead + "1;a=b\r\n" + body.substr(0, 1) + "\r\n3\r\n" +
           body.substr(1) + "\r\n0\r\nX: 1\r\n\r\n");
  REQUIRE(chunked.response);
  CHECK(chunked.response->body == body);
}

TEST_CASE("the lines of a stream are read without their ends") {
  const std::vector<std::string> lines = {"a", "", "b c", "end"};
  const std::string text = "a\r\n\nb c\nend";
  for (const std::string& bytes :
       {"HTTP/1.1 200 OK\r\n\r\n" + text,
        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + text + "surplus",
        kChunkedHead + "5\r\n" + text.substr(0, 5) + "\r\n6\r\n" +
            text.substr(5) + "\r\n0\r\n\r\n"}) {
    INFO(bytes);
    const stream_result result = ReadStream(bytes);
    CHECK(result.status == 200);
    CHECK(result.lines == lines);
    CHECK_FALSE(result.error);
  }
}
