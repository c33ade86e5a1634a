#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "framework/http/http_codec.h"

// Guards against bytes of a target in trouble that are handed to a caller as a
// response.

using namespace wist;

namespace {

constexpr http_reader_limits kLimits{4096, 4096};

response_state StateAfter(const std::string& bytes) {
  const auto reader = MakeHttpResponseReader(kLimits);
  reader->Feed(bytes);
  return reader->state();
}

std::string WithStatusLine(const std::string& line) {
  return line + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string WithFields(const std::string& lines) {
  return "HTTP/1.1 200 OK\r\n" + lines + "\r\nok";
}

}  // namespace

TEST_CASE("a status code outside 100 to 599 is no response") {
  for (const char* code : {"000", "001", "099", "600", "777", "999"}) {
    INFO(code);
    CHECK(StateAfter(WithStatusLine("HTTP/1.1 " + std::string(code) + " X")) ==
          response_state::malformed);
  }
  for (const char* code : {"200", "299", "304", "418", "599"}) {
    INFO(code);
    CHECK(StateAfter(WithStatusLine("HTTP/1.1 " + std::string(code) + " X")) !=
          response_state::malformed);
  }
}

TEST_CASE("a status line outside the grammar is no response") {
  for (const char* line : {"HTTP/1.1 20 OK",
                           "HTTP/1.1 2000 OK",
                           "HTTP/1.1 2x0 OK",
                           "HTTP/1.1 -20 OK",
                           "HTTP/1.1 +20 OK",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1 200",
                           "HTTP/1.1\t200 OK",
                           "HTTP/1.1 OK",
                           "HTTP/1.1",
                           "HTTP/2 200 OK",
                           "HTTP/2.0 200 OK",
                           "HTTP/0.9 200 OK",
                           "HTTP/1 200 OK",
                           "http/1.1 200 OK",
                           "HTTP 200 OK",
                           "200 OK",
                           " HTTP/1.1 200 OK",
                           "\r\nHTTP/1.1 200 OK",
                           "HTTP/1.1 200 O\x01K",
                           "HTTP/1.1 200 O\x7fK",
                           "HTTP/1.1 200 O\rK",
                           "HTTP/1.1 200 O\nK"}) {
    INFO(line);
    CHECK(StateAfter(WithStatusLine(line)) == response_state::malformed);
  }
  const std::string nul("HTTP/1.1 200 O\0K", 16);
  CHECK(StateAfter(WithStatusLine(nul)) == response_state::malformed);
}

TEST_CASE("a field name with a blank or a control byte is no response") {
  for (const std::string name :
       {"X Y",   "X ",    " X",    "\tX",    "X\t",    "X\tY", "X\x01Y",
        "\x01X", "X\x1f", "X\x7f", "X\rY",   "X\nY",   "X(Y",  "X/Y",
        "X\"Y",  "X,Y",   "X{Y",   "X\xc3Y", "X\xffY", "",     "X\x0bY"}) {
    for (const std::string before : {"", "A: b\r\n"}) {
      INFO(before + name);
      CHECK(StateAfter(
                WithFields(before + name + ": 1\r\nContent-Length: 2\r\n")) ==
            response_state::malformed);
    }
  }
  const std::string nul("X\0Y: 1\r\nContent-Length: 2\r\n", 27);
  CHECK(StateAfter(WithFields(nul)) == response_state::malformed);
  CHECK(StateAfter(WithFields("no colon\r\nContent-Length: 2\r\n")) ==
        response_state::malformed);
}

// The body of such a response would end elsewhere than its sender states.
TEST_CASE("a blank in the name of the field that frames the body is found") {
  for (const char* lines :
       {"Content-Length : 2\r\n", " Content-Length: 2\r\n",
        "A: b\r\n Content-Length: 2\r\n", "A: b\r\n\tContent-Length: 2\r\n",
        "Content Length: 2\r\n", "Transfer-Encoding : chunked\r\n",
        "A: b\r\n Transfer-Encoding: chunked\r\n"}) {
    INFO(lines);
    CHECK(StateAfter(WithFields(lines)) == response_state::malformed);
  }
}

TEST_CASE("a control byte in a field value is no response") {
  for (const std::string value :
       {"a\x01", "a\x7f", "a\rb", "a\nb", "a\x0b", "a\x1b[2J"}) {
    INFO(value);
    CHECK(StateAfter(WithFields("X: " + value + "\r\nContent-Length: 2\r\n")) ==
          response_state::malformed);
  }
  const std::string nul("X: a\0b\r\nContent-Length: 2\r\n", 27);
  CHECK(StateAfter(WithFields(nul)) == response_state::malformed);
}

// A line that begins with a blank continues the value of the one before it
// (obs-fold), or is a field whose name begins with a blank.
TEST_CASE("folded header lines are no response") {
  for (const char* lines :
       {"X: a\r\n b\r\nContent-Length: 2\r\n", "Content-Length: 2\r\n \r\n",
        "Content-Length:\r\n 2\r\n", "X: a\r\n\tContent-Length: 2\r\n"}) {
    INFO(lines);
    CHECK(StateAfter(WithFields(lines)) == response_state::malformed);
  }
}

TEST_CASE("a transfer coding that was not requested is no response") {
  for (const char* lines :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked;q=1\r\n", "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunke\r\n", "Transfer-Encoding: \"chunked\"\r\n",
        "Transfer-Encoding:\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: identity\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"}) {
    INFO(lines);
    CHECK(StateAfter(WithFields(lines)) == response_state::malformed);
  }
  CHECK(StateAfter("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nok\r\n0\r\n\r\n") == response_state::malformed);
}

TEST_CASE("a chunk outside the grammar is no response") {
  for (const char* body :
       {"x\r\nok\r\n0\r\n\r\n",
        "-2\r\nok\r\n0\r\n\r\n",
        "+2\r\nok\r\n0\r\n\r\n",
        " 2\r\nok\r\n0\r\n\r\n",
        "2 \r\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n",
        "2\r\nokk\r\n0\r\n\r\n",
        "2\r\nok0\r\n\r\n",
        "\r\nok\r\n0\r\n\r\n",
        "2;\r\nok\r\n0\r\n\r\n",
        "2;a=\r\nok\r\n0\r\n\r\n",
        "2 a\r\nok\r\n0\r\n\r\n",
        "2;a\rb\r\nok\r\n0\r\n\r\n",
        "10000000000000000\r\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
        "2\r\nok\r\n0\r\n X: 1\r\n\r\n",
        "2\r\nok\r\n0\r\nX : 1\r\n\r\n",
        "2\r\nok\r\n0\r\nX: \x01\r\n\r\n",
        "2\r\nok\r\n0\r\nX: 1\r\n Y: 2\r\n\r\n",
        "2\r\nok\r\n0\r\nno colon\r\n\r\n",
        "2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
        "2\r\nok\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    INFO(body);
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
        std::string(body);
    CHECK(StateAfter(bytes) == response_state::malformed);
    const auto reader = MakeHttpResponseReader(kLimits);
    for (const char byte : bytes)
      reader->Feed(std::string(1, byte));
    CHECK(reader->state() == response_state::malformed);
  }
}

TEST_CASE("a response whose status permits no body states none") {
  for (const char* lines :
       {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"}) {
    INFO(lines);
    CHECK(StateAfter("HTTP/1.1 204 No Content\r\n" + std::string(lines) +
                     "\r\n") == response_state::malformed);
  }
  CHECK(StateAfter("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n") ==
        response_state::complete);
  CHECK(StateAfter("HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n") ==
        response_state::complete);
}

// It ends with its head, whatever length that states (RFC 9112, section 6.3).
TEST_CASE("a response to HEAD has no body") {
  for (const char* lines :
       {"Content-Length: 5\r\n", "", "Transfer-Encoding: chunked\r\n"}) {
    INFO(lines);
    const auto reader =
        MakeHttpResponseReader(kLimits, /*is_response_to_head=*/true);
    const std::string head =
        "HTTP/1.1 103 Early Hints\r\n\r\n"
        "HTTP/1.1 200 OK\r\n" +
        std::string(lines) + "\r\n";
    CHECK(reader->Feed(head + "HTTP/1.1") == head.size());
    CHECK(reader->state() == response_state::complete);
    CHECK(reader->TakeBody().empty());
  }
  const auto reader =
      MakeHttpResponseReader(kLimits, /*is_response_to_head=*/true);
  reader->Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n");
  CHECK(reader->state() == response_state::malformed);
}

// Nobody has requested another protocol.
TEST_CASE("a switch of protocols is no response") {
  CHECK(StateAfter("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                   "Connection: upgrade\r\n\r\n") == response_state::malformed);
}

TEST_CASE("interim responses are not the response") {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 102 Processing\r\nX: 1\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  CHECK(StateAfter(interim) == response_state::head_missing);
  const std::string bytes = interim + WithFields("Content-Length: 2\r\n");
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    INFO(step);
    const auto reader = MakeHttpResponseReader(kLimits);
    std::string body;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      reader->Feed(bytes.substr(at, step));
      body += reader->TakeBody();
    }
    CHECK(reader->state() == response_state::complete);
    CHECK(reader->head().status == 200);
    CHECK(reader->head().headers.size() == 1);
    CHECK(body == "ok");
  }
}

TEST_CASE("an interim response is held to the same rules") {
  for (const char* interim :
       {"HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nX: 1\r\n Y: 2\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    INFO(interim);
    CHECK(StateAfter(interim + WithFields("Content-Length: 2\r\n")) ==
          response_state::malformed);
  }
}

TEST_CASE("interim responses without end are given up") {
  const auto reader = MakeHttpResponseReader(kLimits);
  int count = 0;
  for (; reader->state() == response_state::head_missing && count < 10'000;
       ++count)
    reader->Feed("HTTP/1.1 102 Processing\r\n\r\n");
  CHECK(reader->state() == response_state::malformed);
  CHECK(count <= 1000);
}

TEST_CASE("a malformed response names the rule that it breaks") {
  struct row {
    std::string bytes;
    const char* rule;
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  std::string interims;
  for (int i = 0; i < 200; ++i)
    interims += interim;
  for (const auto& [bytes, rule] : std::vector<row>{
           {WithStatusLine("nonsense"), "status_line"},
           {WithStatusLine("HTTP/2.0 200 OK"), "status_line"},
           {WithStatusLine("HTTP/1.1 200 O\x01K"), "status_line"},
           {WithStatusLine("HTTP/1.1 000 X"), "status_code"},
           {WithStatusLine("HTTP/1.1 2x0 X"), "status_code"},
           {WithStatusLine("HTTP/1.1 101 X"), "status_code"},
           {WithFields("X Y: 1\r\n"), "field_line"},
           {WithFields("X\x01: 1\r\n"), "field_line"},
           {WithFields("X: \x01\r\n"), "field_line"},
           {WithFields("no colon\r\n"), "field_line"},
           {chunked + "0\r\nX Y: 1\r\n\r\n", "field_line"},
           {WithFields("X: 1\r\n Y: 2\r\n"), "folded_line"},
           {chunked + "0\r\nX: 1\r\n Y: 2\r\n\r\n", "folded_line"},
           {WithFields("Content-Length: x\r\n"), "content_length"},
           {WithFields("Content-Length: 1\r\nContent-Length: 2\r\n"),
            "content_length"},
           {"HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\n", "content_length"},
           {WithFields("Transfer-Encoding: gzip\r\n"), "transfer_coding"},
           {"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n",
            "transfer_coding"},
           {chunked + "x\r\n", "chunk"},
           {chunked + "1;\r\n", "chunk"},
           {interims, "interim_responses"},
           {WithFields("X: " + std::string(5000, 'x') + "\r\n"), "head_size"},
           {WithFields("Content-Length: 5000\r\n"), "body_size"}}) {
    INFO(bytes);
    const auto reader = MakeHttpResponseReader(kLimits);
    reader->Feed(bytes);
    REQUIRE(reader->broken_rule());
    CHECK(ResponseRuleName(*reader->broken_rule()) == rule);
  }
  const auto reader = MakeHttpResponseReader(kLimits);
  reader->Feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
  CHECK_FALSE(reader->broken_rule());
  reader->FeedEnd();
  CHECK(reader->broken_rule() == response_rule::complete);
}

// Valid, though some servers never send it.
TEST_CASE("unusual responses are read byte for byte") {
  const std::string body("\0\r\n\xff", 4);
  for (const char* head :
       {"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 299 \xc3\xa9t\xe9 \t!\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncONTENT-lENGTH:4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: \t 004 \t\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX:\r\nY: \r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nZ: \xff\t\xe9\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9aZ: 1\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: 1\r\nx: 2\r\nContent-Length: 4\r\n\r\n"}) {
    INFO(head);
    const auto reader = MakeHttpResponseReader(kLimits);
    reader->Feed(head + body);
    reader->FeedEnd();
    CHECK(reader->state() == response_state::complete);
    CHECK(reader->TakeBody() == body);
  }
  for (const char* coding : {"chunked", "CHUNKED", " Chunked ", ", chunked,"}) {
    for (const char* chunks :
         {"4\r\n", "0004\r\n", "4;a\r\n", "4 ; a = \"b;c\" ;d=e\r\n"}) {
      for (const char* trailers : {"", "X: 1\r\nY:\r\n"}) {
        INFO(coding << chunks << trailers);
        const auto reader = MakeHttpResponseReader(kLimits);
        reader->Feed(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) +
            "\r\n\r\n" + chunks + body + "\r\n0\r\n" + trailers + "\r\n");
        CHECK(reader->state() == response_state::complete);
        CHECK(reader->TakeBody() == body);
        CHECK(reader->head().headers.size() == 1);
      }
    }
  }
}
