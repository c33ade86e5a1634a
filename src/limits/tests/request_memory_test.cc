#include <catch2/catch.hpp>

#include <vector>

#include "limits/connection_limit.h"
#include "limits/request_memory.h"

using namespace wist;

namespace {

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kLimit = 40 * kMegabyte;
const timestamp kStart{seconds(1000)};

// A request that claims `bytes` at `now`, after ending the victims. Returns
// nullopt if it is refused.
std::optional<request_number> Admit(request_memory& memory,
                                    std::size_t bytes,
                                    timestamp now,
                                    std::size_t other_bytes = 0) {
  const request_number number = memory.Add(now);
  const memory_decision decision =
      memory.Claim(number, bytes, other_bytes, now);
  for (const request_number victim : decision.victims)
    memory.Remove(victim);
  if (decision.is_admitted)
    return number;
  memory.Remove(number);
  return std::nullopt;
}

}  // namespace

// Load: sixty clients that state 8 MB at once.
TEST_CASE(
    "large requests at once are held up to the budget without its reserve") {
  request_memory memory(kLimit);
  int admitted = 0;
  for (int i = 0; i < 60; ++i)
    admitted += Admit(memory, 8 * kMegabyte, kStart) ? 1 : 0;
  CHECK(admitted == 4);
  CHECK(memory.total_bytes() == 32 * kMegabyte);
  // Guards against large requests that crowd out the small ones.
  CHECK(Admit(memory, kSmallRequestBytes, kStart));
}

// Load: a hundred requests, one after another. Guards against a budget that
// shrinks because it is not released at an end.
TEST_CASE("a request that ends gives its memory back") {
  request_memory memory(kLimit);
  for (int i = 0; i < 100; ++i) {
    const auto number = Admit(memory, 30 * kMegabyte, kStart);
    REQUIRE(number);
    memory.Remove(*number);
  }
  CHECK(memory.total_bytes() == 0);
}

// Load: four clients that have sent all but the last byte, then a fifth.
TEST_CASE(
    "a stalled sender makes room for the next request, the largest first") {
  request_memory memory(kLimit);
  const auto small = *Admit(memory, 2 * kMegabyte, kStart);
  const auto large = *Admit(memory, 20 * kMegabyte, kStart);
  const auto middle = *Admit(memory, 12 * kMegabyte, kStart);
  for (const request_number number : {small, large, middle})
    memory.OnReceived(number, memory.BytesOf(number) - 1, kStart);
  const timestamp soon = kStart + milliseconds(300);
  CHECK_FALSE(Admit(memory, 8 * kMegabyte, soon));
  const timestamp later = kStart + seconds(3);
  const request_number next = memory.Add(later);
  CHECK(memory.Claim(next, 8 * kMegabyte, 0, later) ==
        memory_decision{true, {large}});
}

// Load: a client on a slow link (100 kB/s) beside one that sends a byte a
// second.
TEST_CASE("a slow sender that goes on keeps its place") {
  request_memory memory(kLimit);
  const auto slow = *Admit(memory, 17 * kMegabyte, kStart);
  const auto trickling = *Admit(memory, 17 * kMegabyte, kStart);
  timestamp now = kStart;
  for (std::size_t i = 1; i <= 50; ++i) {
    now += milliseconds(100);
    memory.OnReceived(slow, i * 10'000, now);
    memory.OnReceived(trickling, 1 + i / 10, now);
  }
  const request_number next = memory.Add(now);
  CHECK(memory.Claim(next, 10 * kMegabyte, 0, now).victims ==
        std::vector<request_number>{trickling});
  memory.Remove(trickling);
  CHECK_FALSE(Admit(memory, 10 * kMegabyte, now));
}

// Load: any that fits, however slow. Guards against disconnects without need.
TEST_CASE("nobody is ended while there is room") {
  request_memory memory(kLimit);
  REQUIRE(Admit(memory, 10 * kMegabyte, kStart));
  const timestamp later = kStart + seconds(60);
  const request_number next = memory.Add(later);
  CHECK(memory.Claim(next, 10 * kMegabyte, 0, later) ==
        memory_decision{true, {}});
}

// Load: a stalled client that holds little, and a request that needs much more.
TEST_CASE("nobody is ended for a request that is refused nevertheless") {
  request_memory memory(kLimit);
  const auto complete = *Admit(memory, 30 * kMegabyte, kStart);
  memory.OnComplete(complete);
  REQUIRE(Admit(memory, 3 * kMegabyte, kStart));
  const timestamp later = kStart + seconds(5);
  const request_number next = memory.Add(later);
  CHECK(memory.Claim(next, 20 * kMegabyte, 0, later) == memory_decision{});
}

// Load: responses that fill most of the budget.
TEST_CASE("responses count against the same budget") {
  request_memory memory(kLimit);
  CHECK_FALSE(Admit(memory, 8 * kMegabyte, kStart, 30 * kMegabyte));
  CHECK(Admit(memory, 4 * kMegabyte, kStart, 30 * kMegabyte));
}

// Load: chunked bodies that grow together.
TEST_CASE("a growing request is refused when the budget is used up") {
  request_memory memory(kLimit);
  const auto first = memory.Add(kStart);
  const auto second = memory.Add(kStart);
  std::size_t bytes = kMegabyte;
  while (memory.Claim(first, bytes, 0, kStart).is_admitted &&
         memory.Claim(second, bytes, 0, kStart).is_admitted)
    bytes += kMegabyte;
  CHECK(memory.total_bytes() == LargeRequestBytes(kLimit));
  // It keeps what it had, and may still shrink.
  CHECK(memory.Claim(first, kMegabyte, 0, kStart).is_admitted);
}

// Load: more connections than descriptors, most of them silent.
TEST_CASE("silent connections make room, the oldest first") {
  const timestamp now = kStart + seconds(10);
  std::vector<connection_progress> connections = {
      {connection_phase::responding, kStart},
      {connection_phase::idle, kStart},
      {connection_phase::silent, kStart + seconds(2)},
      {connection_phase::silent, kStart + seconds(1)},
      {connection_phase::receiving, now}};
  CHECK(ChooseConnectionToClose(connections, now) == 3U);
  connections.erase(connections.begin() + 2, connections.begin() + 4);
  CHECK(ChooseConnectionToClose(connections, now) == 1U);
  connections.erase(connections.begin() + 1);
  CHECK(ChooseConnectionToClose(connections, now) == std::nullopt);
  CHECK(ChooseConnectionToClose(connections, now + seconds(4)) == 1U);
}
