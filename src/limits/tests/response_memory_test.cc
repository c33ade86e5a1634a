#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

#include "limits/response_memory.h"

using namespace wist;

namespace {

constexpr std::size_t kMegabyte = 1'000'000;

// Gives up responses until the limit is kept; returns them in order.
std::vector<response_number> GiveUp(response_memory& memory) {
  std::vector<response_number> given_up;
  while (const auto victim = memory.ChooseVictim()) {
    given_up.push_back(*victim);
    memory.Remove(*victim);
  }
  return given_up;
}

}  // namespace

// The pattern: 40 callers on a target that sends without end, beside callers of
// a sound target with large responses.
TEST_CASE("a target that sends without end is given up before sound ones") {
  response_memory memory(20 * kMegabyte);
  std::vector<response_number> sound;
  for (int i = 0; i < 3; ++i)
    sound.push_back(memory.AddGrowing("sound"));
  std::set<response_number> endless;
  for (int i = 0; i < 40; ++i)
    endless.insert(memory.AddGrowing("endless"));
  std::set<response_number> ended;
  for (std::size_t bytes = kMegabyte / 10; bytes <= 8 * kMegabyte;
       bytes += kMegabyte / 10) {
    for (const response_number number : endless) {
      if (ended.contains(number))
        continue;
      memory.SetBytes(number, bytes);
      for (const response_number given_up : GiveUp(memory))
        ended.insert(given_up);
      REQUIRE(memory.total_bytes() <= memory.limit_bytes());
    }
    for (const response_number number : sound) {
      memory.SetBytes(number, std::min(bytes, 2 * kMegabyte));
      for (const response_number given_up : GiveUp(memory))
        ended.insert(given_up);
    }
  }
  for (const response_number number : sound)
    CHECK_FALSE(ended.contains(number));
  CHECK(ended.size() >= 38);
}

TEST_CASE("a complete response is kept as long as another one grows") {
  response_memory memory(10 * kMegabyte);
  const response_number complete = memory.AddComplete("caller");
  const response_number growing = memory.AddGrowing("target");
  memory.SetBytes(complete, 8 * kMegabyte);
  memory.SetBytes(growing, 3 * kMegabyte);
  CHECK(GiveUp(memory) == std::vector{growing});
}

// The pattern: callers that do not read large responses, which would otherwise
// leave no memory for the small responses of all others.
TEST_CASE("small responses outlive callers that do not read large ones") {
  response_memory memory(10 * kMegabyte);
  const response_number small = memory.AddGrowing("target");
  memory.SetBytes(small, 800);
  std::vector<response_number> unread;
  for (int i = 0; i < 3; ++i) {
    unread.push_back(memory.AddComplete("caller"));
    memory.SetBytes(unread.back(), 4 * kMegabyte);
  }
  CHECK(GiveUp(memory).size() == 1);
  CHECK(memory.total_bytes() == 8 * kMegabyte + 800);
}

TEST_CASE("the largest response of the heaviest target is given up first") {
  response_memory memory(10 * kMegabyte);
  const response_number other = memory.AddGrowing("b");
  const response_number first = memory.AddGrowing("a");
  const response_number second = memory.AddGrowing("a");
  memory.SetBytes(other, 4 * kMegabyte);
  memory.SetBytes(first, 3 * kMegabyte);
  memory.SetBytes(second, 3 * kMegabyte + 1);
  CHECK(memory.ChooseVictim() == second);
}

TEST_CASE("nothing is given up within the limit or among small responses") {
  response_memory memory(kMegabyte);
  const response_number number = memory.AddGrowing("a");
  memory.SetBytes(number, kMegabyte);
  CHECK_FALSE(memory.ChooseVictim());
  memory.Remove(number);
  for (int i = 0; i < 1000; ++i)
    memory.SetBytes(memory.AddGrowing("a"), 10'000);
  CHECK(memory.total_bytes() == 10 * kMegabyte);
  CHECK_FALSE(memory.ChooseVictim());
}

TEST_CASE("sizes of responses that were removed are ignored") {
  response_memory memory(kMegabyte);
  const response_number number = memory.AddGrowing("a");
  memory.Remove(number);
  memory.SetBytes(number, 5 * kMegabyte);
  CHECK(memory.total_bytes() == 0);
}
