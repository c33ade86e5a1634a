#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against instances that run out of memory, and lose the requests of all
// their callers, since targets send or callers leave more than they can hold.

using namespace wist;

namespace {

constexpr std::size_t kLimitBytes = 1'000'000;

struct crowded_instance : exchange_fixture {
  crowded_instance() { services.buffers.SetLimit(kLimitBytes); }

  struct caller {
    std::shared_ptr<scripted_channel> channel =
        std::make_shared<scripted_channel>();
    std::shared_ptr<caller_connection> connection;
    std::shared_ptr<scripted_channel> target;
    std::string target_name;
  };

  // Sends a request of one more caller to a target.
  caller Send(const std::string& path) {
    caller added;
    added.connection = std::make_shared<caller_connection>(
        services, added.channel, [](caller_connection*) {});
    added.connection->Start();
    added.channel->Receive("POST " + path +
                           " HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
                           "Tokens: 1000\r\nContent-Length: 2\r\n\r\nhi");
    added.target = connector.channels.back();
    added.target_name = connector.addresses.back().host;
    return added;
  }
};

std::string EndlessHead(const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n" + framing + "\r\n";
}

}  // namespace

TEST_CASE("responses without end are given up before they fill the memory") {
  for (const std::string& framing :
       {std::string(), std::string("Transfer-Encoding: chunked\r\n"),
        std::string("Content-Length: 8000000\r\n")}) {
    crowded_instance f;
    std::vector<crowded_instance::caller> callers;
    for (int i = 0; i < 8; ++i) {
      callers.push_back(f.Send("/once/x"));
      callers.back().target->Receive(EndlessHead(framing));
    }
    const std::string bytes(10'000, '?');
    for (int i = 0; i < 200; ++i) {
      for (const auto& caller : callers) {
        caller.target->Receive(
            framing.starts_with("Transfer") ? EncodeChunk(bytes) : bytes);
      }
    }
    INFO(framing);
    for (const auto& caller : callers) {
      CHECK(caller.target->aborted);
      CHECK(caller.channel->written.starts_with("HTTP/1.1 502"));
    }
  }
}

TEST_CASE("events without end are given up before they fill the memory") {
  crowded_instance f;
  std::vector<crowded_instance::caller> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(f.Send("/stream/x"));
    callers.back().target->Receive(f.StreamHead() + f.Event(1));
  }
  const std::string chunk = EncodeChunk(std::string(10'000, 'x'));
  for (int i = 0; i < 30; ++i) {
    for (const auto& caller : callers)
      caller.target->Receive(chunk);
  }
  std::size_t open = 0;
  for (const auto& caller : callers)
    open += caller.target->open() ? 1 : 0;
  CHECK(open * 300'000 <= kLimitBytes);
}

TEST_CASE(
    "callers of a sound target are served beside a response without end") {
  crowded_instance f;
  const auto endless = f.Send("/once/x");
  const auto sound = f.Send("/once/x");
  REQUIRE(endless.target_name != sound.target_name);
  endless.target->Receive(EndlessHead(""));
  sound.target->Receive(EndlessHead("Content-Length: 400000\r\n"));
  const std::string bytes(10'000, 'x');
  for (int i = 0; i < 40; ++i) {
    endless.target->Receive(bytes + bytes + bytes);
    sound.target->Receive(bytes);
  }
  CHECK(endless.target->aborted);
  CHECK(sound.channel->written.starts_with("HTTP/1.1 200"));
  CHECK(sound.channel->written.ends_with(bytes));
}

// A caller that does not read holds its response until it is disconnected.
TEST_CASE("responses that callers do not read count as memory") {
  crowded_instance f;
  std::vector<crowded_instance::caller> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(f.Send("/once/x"));
    callers.back().channel->unsent = 400'000 + static_cast<std::size_t>(i);
    callers.back().target->Receive(f.Response("200 OK", "done"));
  }
  CHECK(callers[0].channel->open());
  CHECK(callers[1].channel->open());
  CHECK(callers[2].channel->aborted);
}

TEST_CASE("responses that callers have read no longer count as memory") {
  crowded_instance f;
  for (int i = 0; i < 5; ++i) {
    const auto caller = f.Send("/once/x");
    caller.channel->unsent = 600'000;
    caller.target->Receive(f.Response("200 OK", "done"));
    CHECK(caller.channel->open());
    caller.channel->unsent = 0;
  }
}
