#include <catch2/catch.hpp>

#include <signal.h>
#include <unistd.h>

#include <functional>
#include <new>
#include <optional>
#include <stdexcept>
#include <vector>

#include "framework/base/system_clock.h"
#include "framework/net/i_event_loop.h"

using namespace wist;

namespace {

// Both ports are below the range of ephemeral ports, from which the kernel
// assigns ports to other sockets.
constexpr std::uint16_t kPort = 23871;
constexpr std::uint16_t kClosedPort = 23872;

// Stops the event loop of a test that hangs. No assertion depends on it.
constexpr seconds kHangLimit{20};

}  // namespace

TEST_CASE(
    "channels transfer bytes in both directions and close in an orderly way") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  std::shared_ptr<i_channel> accepted;
  std::string received;
  std::string response;
  bool ended = false;
  int connected_count = 0;
  const auto hang_timer =
      loop->RunAt(loop->Now() + kHangLimit, [&] { loop->Stop(); });
  loop->Listen({"127.0.0.1", kPort}, [&](std::shared_ptr<i_channel> channel) {
    accepted = std::move(channel);
    accepted->SetCallbacks({[&](std::string_view bytes) {
                              received += bytes;
                              accepted->Write("pong");
                              accepted->Close();
                            },
                            nullptr});
  });
  const auto channel =
      loop->Connect({"127.0.0.1", kPort}, loop->Now() + kHangLimit,
                    {[&](std::string_view bytes) { response += bytes; },
                     [&](channel_end end) {
                       ended = end == channel_end::closed;
                       loop->Stop();
                     },
                     [&] { ++connected_count; }});
  channel->Write("ping");
  loop->Run();
  CHECK(received == "ping");
  CHECK(response == "pong");
  CHECK(ended);
  CHECK(connected_count == 1);
  CHECK(channel->HasSentBytes());
}

TEST_CASE("a refused connection reports that no byte was sent") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  std::optional<channel_end> end;
  bool is_connected = false;
  const auto hang_timer =
      loop->RunAt(loop->Now() + kHangLimit, [&] { loop->Stop(); });
  const auto channel =
      loop->Connect({"127.0.0.1", kClosedPort}, loop->Now() + kHangLimit,
                    {nullptr,
                     [&](channel_end result) {
                       end = result;
                       loop->Stop();
                     },
                     [&] { is_connected = true; }});
  channel->Write("never sent");
  loop->Run();
  CHECK(end == channel_end::connect_failed);
  CHECK_FALSE(is_connected);
  CHECK_FALSE(channel->HasSentBytes());
}

TEST_CASE("a destroyed timer does not run its task") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  bool ran = false;
  auto cancelled =
      loop->RunAt(loop->Now() + milliseconds(1), [&] { ran = true; });
  const auto stop_timer =
      loop->RunAt(loop->Now() + milliseconds(5), [&] { loop->Stop(); });
  cancelled.reset();
  loop->Run();
  CHECK_FALSE(ran);
}

TEST_CASE("the event loop handles a signal each time it is raised") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  int handled = 0;
  const auto hang_timer =
      loop->RunAt(loop->Now() + kHangLimit, [&] { loop->Stop(); });
  loop->AddSignalHandler(SIGHUP, [&] {
    if (++handled == 2)
      return loop->Stop();
    raise(SIGHUP);
  });
  raise(SIGHUP);
  loop->Run();
  CHECK(handled == 2);
}

TEST_CASE("connecting to a host that is not an IP address fails") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  std::optional<channel_end> end;
  const auto hang_timer =
      loop->RunAt(loop->Now() + kHangLimit, [&] { loop->Stop(); });
  const auto channel =
      loop->Connect({"no-such-host", kPort}, loop->Now() + kHangLimit,
                    {nullptr, [&](channel_end result) {
                       end = result;
                       loop->Stop();
                     }});
  loop->Run();
  CHECK(end == channel_end::connect_failed);
}

// Guards against a process that a signal ends while it starts.
TEST_CASE("a signal that was blocked until its handler was added is handled") {
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  kill(getpid(), SIGHUP);
  const auto loop = MakeEventLoop(MakeSystemClock());
  const auto hang_timer =
      loop->RunAt(loop->Now() + kHangLimit, [&] { loop->Stop(); });
  int handled = 0;
  loop->AddSignalHandler(SIGHUP, [&] {
    ++handled;
    loop->Stop();
  });
  loop->Run();
  CHECK(handled == 1);
}

// Guards against a process that ends, with the requests of all its callers,
// since the bytes of one peer cannot be processed.
TEST_CASE("an exception ends the channel whose bytes caused it and no other") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  std::vector<std::string> causes;
  loop->SetErrorReporter(
      [&](const std::string& subject, const std::string& cause) {
        CHECK(subject.starts_with("127.0.0.1:"));
        causes.push_back(cause);
      });
  const auto hang_timer =
      loop->RunAt(loop->Now() + kHangLimit, [&] { loop->Stop(); });
  std::vector<std::shared_ptr<i_channel>> accepted;
  std::vector<channel_end> ends;
  loop->Listen({"127.0.0.1", kPort}, [&](std::shared_ptr<i_channel> channel) {
    accepted.push_back(channel);
    channel->SetCallbacks({[channel](std::string_view bytes) {
                             if (bytes == "bad")
                               throw std::bad_alloc();
                             channel->Write("good");
                           },
                           [&](channel_end end) { ends.push_back(end); }});
  });
  std::string response;
  std::shared_ptr<i_channel> sound;
  const auto faulty = loop->Connect(
      {"127.0.0.1", kPort}, loop->Now() + kHangLimit,
      {[](std::string_view) {},
       [&](channel_end) {
         sound = loop->Connect({"127.0.0.1", kPort}, loop->Now() + kHangLimit,
                               {[&](std::string_view bytes) {
                                  response += bytes;
                                  loop->Stop();
                                },
                                nullptr});
         sound->Write("fine");
       }});
  faulty->Write("bad");
  loop->Run();
  CHECK(response == "good");
  CHECK(ends == std::vector{channel_end::reset});
  CHECK(causes == std::vector<std::string>{std::bad_alloc().what()});
}

TEST_CASE("an exception in a timer's task does not end the loop") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  int reports = 0;
  loop->SetErrorReporter(
      [&](const std::string&, const std::string&) { ++reports; });
  const auto failing =
      loop->RunAt(loop->Now(), [] { throw std::length_error("too long"); });
  const auto last =
      loop->RunAt(loop->Now() + milliseconds(20), [&] { loop->Stop(); });
  loop->Run();
  CHECK(reports == 1);
}

TEST_CASE("without a reporter an exception leaves the loop") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  const auto failing =
      loop->RunAt(loop->Now(), [] { throw std::length_error("too long"); });
  CHECK_THROWS_AS(loop->Run(), std::length_error);
}

// Guards against planned stops that end the process while the end of an answer
// is in its own memory: a stop waits for the channels that are still alive.
TEST_CASE("a closed channel is alive until its bytes are sent") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  constexpr std::size_t kAnswerBytes = 32'000'000;
  std::weak_ptr<i_channel> server;
  std::size_t received = 0;
  bool was_alive = false;
  const auto hang_timer =
      loop->RunAt(loop->Now() + kHangLimit, [&] { loop->Stop(); });
  loop->Listen({"127.0.0.1", kPort}, [&](std::shared_ptr<i_channel> channel) {
    server = channel;
    channel->SetCallbacks({nullptr, nullptr});
    channel->Write(std::string(kAnswerBytes, 'x'));
    channel->Close();
  });
  std::unique_ptr<i_timer> check;
  const std::function<void()> stop_once_ended = [&] {
    if (server.expired())
      return loop->Stop();
    check = loop->RunAt(loop->Now() + milliseconds(5), stop_once_ended);
  };
  const auto client = loop->Connect(
      {"127.0.0.1", kPort}, loop->Now() + kHangLimit,
      {[&](std::string_view bytes) {
         if (received == 0)
           was_alive = !server.expired() && server.lock()->UnsentBytes() > 0;
         received += bytes.size();
       },
       [&](channel_end) { stop_once_ended(); }});
  loop->Run();
  CHECK(was_alive);
  CHECK(received == kAnswerBytes);
  CHECK(server.expired());
}

// Guards against a request that reaches its target after it was cancelled, for
// example since the network had held it up: the target may have left by then.
TEST_CASE("what an aborted channel has sent is not delivered any more") {
  const auto loop = MakeEventLoop(MakeSystemClock());
  constexpr std::size_t kRequestBytes = 32'000'000;
  std::shared_ptr<i_channel> server;
  std::size_t received = 0;
  std::optional<channel_end> end;
  const auto hang_timer =
      loop->RunAt(loop->Now() + kHangLimit, [&] { loop->Stop(); });
  std::shared_ptr<i_channel> client;
  std::unique_ptr<i_timer> abort_timer;
  std::unique_ptr<i_timer> read_timer;
  // The server does not read before the client has aborted the channel.
  loop->Listen({"127.0.0.1", kPort}, [&](std::shared_ptr<i_channel> channel) {
    server = std::move(channel);
    abort_timer = loop->RunAt(loop->Now() + milliseconds(20), [&] {
      client->Abort();
      read_timer = loop->RunAt(loop->Now() + milliseconds(20), [&] {
        server->SetCallbacks(
            {[&](std::string_view bytes) { received += bytes.size(); },
             [&](channel_end how) {
               end = how;
               loop->Stop();
             }});
      });
    });
  });
  client = loop->Connect({"127.0.0.1", kPort}, loop->Now() + kHangLimit, {});
  client->Write(std::string(kRequestBytes, 'x'));
  loop->Run();
  CHECK(end == channel_end::reset);
  CHECK(received < kRequestBytes);
}
