#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "framework/net/short_request_server.h"
#include "framework/net/tests/mocks/scripted_connector.h"

// Guards against clients of the internal ports that use up memory or
// descriptors.

using namespace wist;

namespace {

constexpr char kRequest[] = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";

struct server_fixture {
  std::shared_ptr<scripted_channel> Connect() {
    auto channel = std::make_shared<scripted_channel>();
    server.Accept(channel);
    return channel;
  }

  std::size_t response_bytes = 10;
  short_request_server server{
      2, [this](const std::shared_ptr<i_channel>& channel,
                const http_request_message&) {
        channel->Write(std::string(response_bytes, 'x'));
      }};
};

}  // namespace

TEST_CASE("a body is rejected with its head, and one in chunks as it grows") {
  server_fixture f;
  const auto stated = f.Connect();
  stated->Receive("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
  CHECK(stated->aborted);
  const auto chunked = f.Connect();
  chunked->Receive(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  CHECK_FALSE(chunked->aborted);
  chunked->Receive(EncodeChunk(std::string(5000, 'x')));
  CHECK(chunked->aborted);
}

TEST_CASE(
    "a new connection replaces a silent one, then the one quiet longest") {
  server_fixture f;
  const auto served = f.Connect();
  served->Receive(kRequest);
  const auto silent = f.Connect();
  const auto third = f.Connect();
  CHECK(silent->aborted);
  CHECK_FALSE(served->aborted);
  third->Receive(kRequest);
  served->Receive(kRequest);
  f.Connect();
  CHECK(third->aborted);
  CHECK_FALSE(served->aborted);
}

TEST_CASE("a client that does not read its responses is disconnected") {
  server_fixture f;
  const auto client = f.Connect();
  client->Receive(kRequest);
  client->unsent = 100'000;
  client->Receive(std::string(kRequest) + kRequest);
  CHECK(client->aborted);
  CHECK(client->written.size() == f.response_bytes);
}
