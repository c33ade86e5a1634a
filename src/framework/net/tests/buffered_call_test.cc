#include <catch2/catch.hpp>

#include <stdexcept>

#include "framework/http/http_codec.h"
#include "framework/net/buffered_call.h"
#include "framework/net/tests/mocks/scripted_connector.h"
#include "framework/net/tests/mocks/virtual_scheduler.h"

using namespace wist;

// A server in trouble may send a body without end.
TEST_CASE("a body without end is given up before it fills the memory") {
  virtual_scheduler scheduler;
  scripted_connector connector;
  const auto caller = MakeHttpCaller(connector, scheduler);
  int done = 0;
  std::optional<buffered_response> response;
  buffered_call_limits limits;
  limits.max_body_bytes = 16'777'216;
  buffered_call::Start(*caller, scheduler, {"h", 80}, "GET / HTTP/1.1\r\n\r\n",
                       limits, [&](std::optional<buffered_response> result) {
                         ++done;
                         response = std::move(result);
                       });
  scripted_channel& channel = *connector.channels.back();
  channel.Receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = EncodeChunk(std::string(65'536, 'x'));
  int count = 0;
  while (done == 0 && count < 1000) {
    channel.Receive(chunk);
    ++count;
  }
  CHECK(done == 1);
  CHECK_FALSE(response);
  CHECK_FALSE(channel.open());
  // 32 MB, far below the memory of an instance.
  CHECK(count <= 512);
}

// Guards against a reader of the store that no longer follows it, since the
// handler of one response has failed.
TEST_CASE("a handler that fails on a response is told that there is none") {
  virtual_scheduler scheduler;
  scripted_connector connector;
  const auto caller = MakeHttpCaller(connector, scheduler);
  buffered_call_limits limits;
  limits.max_body_bytes = 100;
  int without_response = 0;
  buffered_call::Start(*caller, scheduler, {"h", 80}, "GET / HTTP/1.1\r\n\r\n",
                       limits, [&](std::optional<buffered_response> result) {
                         if (result)
                           throw std::length_error("too long");
                         ++without_response;
                       });
  CHECK_THROWS_AS(connector.channels.back()->Receive(
                      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
                  std::length_error);
  CHECK(without_response == 1);
}
