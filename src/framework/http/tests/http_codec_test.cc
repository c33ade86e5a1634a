#include <catch2/catch.hpp>

#include "framework/http/http_codec.h"

using namespace wist;

namespace {

std::optional<http_request_message> ReadRequest(const std::string& bytes) {
  const auto reader = MakeHttpRequestReader({});
  reader->Feed(bytes);
  return reader->Next();
}

std::optional<http_read_error> ReadErrorOf(const std::string& bytes) {
  const auto reader = MakeHttpRequestReader({1024, 1024});
  reader->Feed(bytes);
  reader->Next();
  return reader->read_error();
}

}  // namespace

TEST_CASE("a request that arrives byte by byte is parsed completely") {
  const std::string bytes =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
  const auto reader = MakeHttpRequestReader({});
  for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
    reader->Feed(bytes.substr(i, 1));
    REQUIRE_FALSE(reader->Next());
  }
  reader->Feed(bytes.substr(bytes.size() - 1));
  const auto request = reader->Next();
  REQUIRE(request);
  CHECK(request->method == "POST");
  CHECK(request->target == "/a/b?c=d");
  CHECK(request->Header("host") == "h");
  CHECK(request->body == "hello");
}

TEST_CASE("two requests in the same input are returned one after the other") {
  const auto reader = MakeHttpRequestReader({});
  reader->Feed(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
      "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(reader->Next()->body == "ab");
  CHECK(reader->Next()->target == "/2");
  CHECK_FALSE(reader->Next());
}

TEST_CASE("a chunk header without end is rejected") {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& first : {std::string("5;"), std::string()}) {
    const auto reader = MakeHttpRequestReader({1024, 1024});
    reader->Feed(head + first);
    int count = 0;
    for (; !reader->read_error() && count < 100; ++count) {
      reader->Feed(std::string(100, '1'));
      reader->Next();
    }
    CHECK(reader->read_error());
    CHECK(count <= 20);
  }
}

TEST_CASE("the chunks of a request body are joined") {
  const auto request = ReadRequest(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(request);
  CHECK(request->body == "abcde");
}

TEST_CASE("messages whose length is ambiguous are malformed") {
  CHECK(ReadErrorOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        http_read_error::malformed);
  CHECK(ReadErrorOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    "Content-Length: 4\r\n\r\nabcd") ==
        http_read_error::malformed);
  CHECK(
      ReadErrorOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n") ==
      http_read_error::malformed);
  CHECK(ReadErrorOf("POST / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n") ==
        http_read_error::malformed);
  CHECK(ReadErrorOf("POST / HTTP/1.1\nHost: h\r\n\r\n") ==
        http_read_error::malformed);
}

TEST_CASE("headers and bodies larger than their limits are rejected") {
  CHECK(ReadErrorOf("GET / HTTP/1.1\r\nHost: h\r\nX: " +
                    std::string(2000, 'a')) ==
        http_read_error::header_too_large);
  CHECK(ReadErrorOf(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n") ==
        http_read_error::body_too_large);
}

TEST_CASE(
    "a response ends at its length and does not consume the following bytes") {
  const auto reader = MakeHttpResponseReader({4096});
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 500";
  const std::size_t consumed = reader->Feed(bytes);
  CHECK(reader->state() == response_state::complete);
  CHECK(reader->TakeBody() == "abc");
  CHECK(bytes.substr(consumed) == "HTTP/1.1 500");
}

TEST_CASE("a chunked response is parsed for every split into two parts") {
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    const auto reader = MakeHttpResponseReader({4096});
    std::string body;
    reader->Feed(bytes.substr(0, cut));
    body += reader->TakeBody();
    CHECK(reader->state() != response_state::complete);
    reader->Feed(bytes.substr(cut));
    body += reader->TakeBody();
    CHECK(reader->state() == response_state::complete);
    CHECK(body == "hello world");
  }
}

TEST_CASE(
    "a response without a length is complete only when the channel is closed") {
  const auto reader = MakeHttpResponseReader({4096});
  reader->Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK(reader->state() == response_state::body_missing);
  reader->FeedEnd();
  CHECK(reader->state() == response_state::complete);
  CHECK(reader->TakeBody() == "abc");
}

TEST_CASE("a response that ends before its length is malformed") {
  const auto reader = MakeHttpResponseReader({4096});
  reader->Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  reader->FeedEnd();
  CHECK(reader->state() == response_state::malformed);
}

TEST_CASE("bytes that are not a response are malformed") {
  const auto reader = MakeHttpResponseReader({4096});
  reader->Feed("garbage\r\n\r\n");
  CHECK(reader->state() == response_state::malformed);
}

namespace {

// The state after a response head with these headers and no body.
response_state StateAfterHead(const std::string& headers,
                              std::size_t max_body_bytes) {
  const auto reader = MakeHttpResponseReader({4096, max_body_bytes});
  reader->Feed("HTTP/1.1 200 OK\r\n" + headers + "\r\n");
  return reader->state();
}

response_state StateAfterLength(const std::string& length,
                                std::size_t max_body_bytes) {
  return StateAfterHead("Content-Length: " + length + "\r\n", max_body_bytes);
}

}  // namespace

// Guards against a process that ends since a server states a length for which
// there is no memory.
TEST_CASE("a stated length takes no memory before the bytes arrive") {
  constexpr std::size_t kNoLimit = http_reader_limits::kUnlimitedBody;
  for (const char* length :
       {"99999999999", "2147483648", "4294967296", "9223372036854775807",
        "9223372036854775808", "18446744073709551615"}) {
    INFO(length);
    const auto reader = MakeHttpResponseReader({4096, kNoLimit});
    reader->Feed(std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length +
                 "\r\n\r\n");
    reader->Feed("x");
    CHECK(reader->state() == response_state::body_missing);
    CHECK(reader->TakeBody() == "x");
  }
}

TEST_CASE("a length above the limit is rejected with the head") {
  CHECK(StateAfterLength("0", 100) == response_state::complete);
  CHECK(StateAfterLength("100", 100) == response_state::body_missing);
  for (const char* length :
       {"101", "2147483648", "4294967296", "9223372036854775808",
        "18446744073709551615", "18446744073709551616",
        "99999999999999999999999999"}) {
    INFO(length);
    CHECK(StateAfterLength(length, 100) == response_state::malformed);
  }
}

TEST_CASE("a length that is no number or stated twice is malformed") {
  for (const char* length : {"-1", "+5", "5,6", "0x5", "5 5", "", "1e3"}) {
    INFO(length);
    CHECK(StateAfterLength(length, 100) == response_state::malformed);
  }
  CHECK(StateAfterHead("Content-Length: 5\r\nContent-Length: 6\r\n", 100) ==
        response_state::malformed);
  CHECK(StateAfterHead("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                       100) == response_state::malformed);
}

TEST_CASE("a body above the limit is rejected however it is framed") {
  for (const std::string& headers :
       {std::string(), std::string("Transfer-Encoding: chunked\r\n")}) {
    const auto reader = MakeHttpResponseReader({4096, 100});
    reader->Feed("HTTP/1.1 200 OK\r\n" + headers + "\r\n");
    const std::string bytes(60, 'x');
    reader->Feed(headers.empty() ? bytes : EncodeChunk(bytes));
    CHECK(reader->state() == response_state::body_missing);
    reader->TakeBody();
    reader->Feed(headers.empty() ? bytes : EncodeChunk(bytes));
    CHECK(reader->state() == response_state::malformed);
  }
}

// Guards against a second response that is passed on as part of a body.
TEST_CASE("heads of responses are found in a body, whole or cut off") {
  const std::string head = "HTTP/1.1 200 OK\r\nX: 1\r\nY: 2";
  for (const std::string before : {"", "body", "a\r\n\r\nb", "x: y\r\n"}) {
    for (const char* after : {"\r\n", "\r\nZ: cut", "\r\n\r\n", "\r\n\r\nok"}) {
      INFO(before << head << after);
      const auto heads = FindResponseHeads(before + head + after);
      REQUIRE(heads.size() == 1);
      CHECK(heads.front().Header("Y") == "2");
    }
  }
  CHECK(FindResponseHeads(head + "\r\n\r\n" + head + "\r\n\r\n").size() == 2);
  for (const char* text :
       {"", "HTTP/1.1 200 OK", "HTTP/1.1 is a protocol\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno field\r\n\r\n"})
    CHECK(FindResponseHeads(text).empty());
}

// Guards against a body that keeps an instance busy for seconds. Heads are
// searched for in time that grows with the body.
TEST_CASE("a body of many beginnings of heads is searched once") {
  for (const std::string piece :
       {"HTTP/1.\r", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nx\r\n\r\n"}) {
    std::string body;
    while (body.size() < 2'000'000)
      body += piece;
    // Only the last status line may be followed by fields.
    CHECK(FindResponseHeads(body + "\r\nx").size() <= 1);
  }
}
