#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against callers whose requests use up the memory of an instance.

using namespace wist;

namespace {

constexpr std::size_t kBudget = 1'000'000;
// The copies of two such bodies exceed the budget.
constexpr std::size_t kBodyBytes = 400'000;

struct crowd_fixture : exchange_fixture {
  crowd_fixture() { services.requests.SetLimit(kBudget); }

  std::shared_ptr<scripted_channel> Connect() {
    auto channel = std::make_shared<scripted_channel>();
    connections.push_back(std::make_shared<caller_connection>(
        services, channel, [](caller_connection*) {}));
    connections.back()->Start();
    return channel;
  }

  static std::string Head(const std::string& framing) {
    return "POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n" + framing +
           "\r\n\r\n";
  }

  static std::string LengthHead() {
    return Head("Content-Length: " + std::to_string(kBodyBytes));
  }

  std::vector<std::shared_ptr<caller_connection>> connections;
};

bool IsRefused(const scripted_channel& channel) {
  return channel.written.starts_with("HTTP/1.1 503") &&
         channel.written.find("Code: overloaded") != std::string::npos &&
         channel.closed;
}

}  // namespace

TEST_CASE("a stated length without room is refused from its head") {
  crowd_fixture f;
  const auto first = f.Connect();
  first->Receive(f.LengthHead());
  CHECK(first->written.empty());
  const auto second = f.Connect();
  second->Receive(f.LengthHead());
  CHECK(IsRefused(*second));
  CHECK(f.services.requests.total_bytes() == 2 * kBodyBytes);
}

TEST_CASE("a body in chunks is refused when it finds no room any more") {
  crowd_fixture f;
  const auto channel = f.Connect();
  channel->Receive(f.Head("Transfer-Encoding: chunked"));
  const std::string chunk = EncodeChunk(std::string(16'000, 'x'));
  for (int i = 0; i < 40 && !channel->closed; ++i)
    channel->Receive(chunk);
  CHECK(IsRefused(*channel));
  f.connections.clear();
  CHECK(f.services.requests.total_bytes() == 0);
}

TEST_CASE("the memory of a request is free when it ends or its caller leaves") {
  crowd_fixture f;
  const auto channel = f.Connect();
  channel->Receive(f.LengthHead() + std::string(kBodyBytes, 'x'));
  CHECK(f.services.requests.total_bytes() == 2 * kBodyBytes);
  f.target_channel().Receive(f.Response("200 OK", "done"));
  CHECK(f.services.requests.total_bytes() == 0);
  channel->Receive(f.LengthHead());
  channel->End(channel_end::closed);
  f.connections.clear();
  CHECK(f.services.requests.total_bytes() == 0);
}

TEST_CASE("a stalled body is ended when another request needs its room") {
  crowd_fixture f;
  const auto stalled = f.Connect();
  stalled->Receive(f.LengthHead() + std::string(kBodyBytes - 1, 'x'));
  f.scheduler.Advance(milliseconds(1500));
  const auto next = f.Connect();
  next->Receive(f.LengthHead());
  CHECK(IsRefused(*stalled));
  CHECK(next->written.empty());
}

TEST_CASE("a caller that asks first is told to send only if there is room") {
  crowd_fixture f;
  const std::string head = f.Head("Expect: 100-continue\r\nContent-Length: " +
                                  std::to_string(kBodyBytes));
  const auto first = f.Connect();
  first->Receive(head);
  CHECK(first->written == "HTTP/1.1 100 Continue\r\n\r\n");
  first->Receive("x");
  CHECK(first->written == "HTTP/1.1 100 Continue\r\n\r\n");
  const auto second = f.Connect();
  second->Receive(head);
  CHECK(IsRefused(*second));
}

TEST_CASE("small requests are served beside large ones that fill their part") {
  crowd_fixture f;
  f.Connect()->Receive(f.LengthHead());
  const auto small = f.Connect();
  small->Receive(f.Head("Content-Length: 4") + "body");
  f.target_channel().Receive(f.Response("200 OK", "done"));
  CHECK(small->written.starts_with("HTTP/1.1 200"));
}
