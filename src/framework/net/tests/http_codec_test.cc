#include <catch2/catch.hpp>

#include "framework/net/http_codec.h"

using namespace wist;

namespace {

std::optional<http_request_message> ReadWhole(const std::string& bytes) {
  const auto reader = MakeHttpRequestReader({});
  reader->Feed(bytes);
  return reader->Next();
}

std::optional<http_read_fault> FaultOf(const std::string& bytes) {
  const auto reader = MakeHttpRequestReader({1024, 1024});
  reader->Feed(bytes);
  reader->Next();
  return reader->fault();
}

}  // namespace

TEST_CASE("a request that arrives byte by byte is read whole") {
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

TEST_CASE("two requests in one read are read one after the other") {
  const auto reader = MakeHttpRequestReader({});
  reader->Feed(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
      "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(reader->Next()->body == "ab");
  CHECK(reader->Next()->target == "/2");
  CHECK_FALSE(reader->Next());
}

TEST_CASE("a chunked body is joined") {
  const auto request = ReadWhole(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(request);
  CHECK(request->body == "abcde");
}

TEST_CASE("messages whose length is ambiguous are malformed") {
  CHECK(FaultOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        http_read_fault::malformed);
  CHECK(FaultOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                "Content-Length: 4\r\n\r\nabcd") == http_read_fault::malformed);
  CHECK(FaultOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n") ==
        http_read_fault::malformed);
  CHECK(FaultOf("POST / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n") ==
        http_read_fault::malformed);
  CHECK(FaultOf("POST / HTTP/1.1\nHost: h\r\n\r\n") ==
        http_read_fault::malformed);
}

TEST_CASE("heads and bodies beyond their limits are refused") {
  CHECK(FaultOf("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'a')) ==
        http_read_fault::header_too_large);
  CHECK(FaultOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n") ==
        http_read_fault::body_too_large);
}

TEST_CASE("an answer is complete at its length and leaves what follows") {
  const auto reader = MakeHttpAnswerReader(4096);
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 500";
  const std::size_t used = reader->Feed(bytes);
  CHECK(reader->state() == answer_state::complete);
  CHECK(reader->TakeBody() == "abc");
  CHECK(bytes.substr(used) == "HTTP/1.1 500");
}

TEST_CASE("a chunked answer is read at any split") {
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    const auto reader = MakeHttpAnswerReader(4096);
    std::string body;
    reader->Feed(bytes.substr(0, cut));
    body += reader->TakeBody();
    CHECK(reader->state() != answer_state::complete);
    reader->Feed(bytes.substr(cut));
    body += reader->TakeBody();
    CHECK(reader->state() == answer_state::complete);
    CHECK(body == "hello world");
  }
}

TEST_CASE("an answer without length is complete only at an orderly end") {
  const auto reader = MakeHttpAnswerReader(4096);
  reader->Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK(reader->state() == answer_state::body_missing);
  reader->FeedEnd();
  CHECK(reader->state() == answer_state::complete);
  CHECK(reader->TakeBody() == "abc");
}

TEST_CASE("an answer that ends before its length is malformed") {
  const auto reader = MakeHttpAnswerReader(4096);
  reader->Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  reader->FeedEnd();
  CHECK(reader->state() == answer_state::malformed);
}

TEST_CASE("bytes that are no answer are malformed") {
  const auto reader = MakeHttpAnswerReader(4096);
  reader->Feed("garbage\r\n\r\n");
  CHECK(reader->state() == answer_state::malformed);
}
