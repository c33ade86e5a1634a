#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <limits>
#include <new>
#include <random>
#include <string>
#include <vector>

#include "framework/http/http_codec.h"
#include "peers/internal/page_codec.h"
#include "peers/peer_report.h"
#include "streams/event_splitter.h"

// Guards against decoders of bytes from outside that take more memory than the
// bytes that have arrived allow, or that leave broken state when there is none.
// Runs seeded mutations under the sanitizers, with allocations that fail.

namespace {

// Allocations that still succeed.
long allocations_left = std::numeric_limits<long>::max();

// The largest single allocation since the last reset, in bytes.
std::size_t largest_allocation = 0;

void* Allocate(std::size_t size) {
  if (allocations_left <= 0)
    throw std::bad_alloc();
  --allocations_left;
  largest_allocation = std::max(largest_allocation, size);
  void* memory = std::malloc(size);
  if (!memory)
    throw std::bad_alloc();
  return memory;
}

}  // namespace

void* operator new(std::size_t size) {
  return Allocate(size);
}
void* operator new[](std::size_t size) {
  return Allocate(size);
}
void operator delete(void* memory) noexcept {
  std::free(memory);
}
void operator delete[](void* memory) noexcept {
  std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}
void operator delete[](void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace wist {
namespace {

constexpr int kRounds = 3000;

// A decoder may copy what has arrived some times, and its parser has a buffer.
constexpr std::size_t kAllocationPerByte = 8;
constexpr std::size_t kFixedAllocation = 65'536;

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kPost = "POST /a HTTP/1.1\r\nHost: h\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kLength = "Content-Length: ";

const std::vector<std::string> kSeeds = {
    kOk + kLength + "5\r\n\r\nhello",
    kOk + kLength + "99999999999\r\n\r\nhello",
    kOk + kChunked + "5\r\nhello\r\n0\r\n\r\n",
    kOk + kChunked + "ffffffffffff\r\nhello",
    kPost + kLength + "9223372036854775807\r\n\r\nx",
    kPost + kChunked + "3\r\nabc\r\n0\r\n\r\n",
    "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: ",
    R"({"at":7,"items":[{"key":"a","value":"YWJj","revision":3}],"age_us":5})",
    R"({"at":9,"changes":[{"key":"a","revision":3}],"age_us":5,"held_us":1})"};

std::string Mutate(std::string bytes, std::mt19937& random) {
  const std::string alphabet = "\r\n :;0159fF\"{}[],\t\x80-";
  const int changes = static_cast<int>(random() % 5);
  for (int i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random() % bytes.size();
    switch (random() % 4) {
      case 0:
        bytes[at] = alphabet[random() % alphabet.size()];
        break;
      case 1:
        bytes.erase(at, 1 + random() % 4);
        break;
      case 2:
        bytes.insert(at, 1 + random() % 40,
                     alphabet[random() % alphabet.size()]);
        break;
      default:
        bytes += bytes.substr(at);
    }
  }
  return bytes;
}

void ReadResponse(const std::string& bytes, std::size_t cut) {
  const auto reader =
      MakeHttpResponseReader({512, http_reader_limits::kUnlimitedBody});
  reader->Feed(std::string_view(bytes).substr(0, cut));
  reader->TakeBody();
  reader->Feed(std::string_view(bytes).substr(cut));
  reader->TakeBody();
  reader->FeedEnd();
}

void ReadRequests(const std::string& bytes, std::size_t cut) {
  const auto reader =
      MakeHttpRequestReader({512, http_reader_limits::kUnlimitedBody});
  reader->Feed(std::string_view(bytes).substr(0, cut));
  while (reader->Next()) {
  }
  reader->Feed(std::string_view(bytes).substr(cut));
  while (reader->Next()) {
  }
}

void SplitEvents(const std::string& bytes, std::size_t cut) {
  event_splitter splitter;
  splitter.Feed(std::string_view(bytes).substr(0, cut));
  splitter.Feed(std::string_view(bytes).substr(cut));
}

void DecodePages(const std::string& bytes, std::size_t) {
  DecodeRangePage(bytes);
  DecodeWatchPage(bytes);
  static_cast<void>(DecodePeerReport(bytes));
}

// Returns false, with a message, if a decoder has broken a rule.
bool RunDecoder(const std::function<void()>& decode, std::size_t input_bytes) {
  largest_allocation = 0;
  try {
    decode();
  } catch (const std::bad_alloc&) {
    std::fprintf(stderr, "std::bad_alloc with memory left\n");
    return false;
  }
  const std::size_t bound = kFixedAllocation + kAllocationPerByte * input_bytes;
  if (largest_allocation > bound) {
    std::fprintf(stderr, "%zu bytes allocated at once for %zu (bound %zu)\n",
                 largest_allocation, input_bytes, bound);
    return false;
  }
  // Each failing allocation has to leave a state that can be destroyed; the
  // sanitizers check it.
  for (long left = 0; left < 40; ++left) {
    allocations_left = left;
    bool has_failed = false;
    try {
      decode();
    } catch (const std::bad_alloc&) {
      has_failed = true;
    }
    allocations_left = std::numeric_limits<long>::max();
    if (!has_failed)
      break;
  }
  return true;
}

int Run() {
  std::mt19937 random(31);
  for (int round = 0; round < kRounds; ++round) {
    const std::string bytes = Mutate(kSeeds[random() % kSeeds.size()], random);
    const std::size_t cut = bytes.empty() ? 0 : random() % bytes.size();
    for (const auto decoder :
         {ReadResponse, ReadRequests, SplitEvents, DecodePages}) {
      if (RunDecoder([&] { decoder(bytes, cut); }, bytes.size()))
        continue;
      std::fprintf(stderr, "round %d: %s\n", round, bytes.c_str());
      return 1;
    }
  }
  std::printf("%d mutated messages decoded\n", kRounds);
  return 0;
}

}  // namespace
}  // namespace wist

int main() {
  return wist::Run();
}
