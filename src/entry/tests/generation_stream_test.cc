#include <catch2/catch.hpp>

#include <deque>
#include <iterator>
#include <string>
#include <utility>

#include "entry/internal/generation_stream.h"
#include "framework/base/tests/mocks/virtual_clock.h"

// Guards against a generation that never ends, or is blamed for a crash, since
// its target sends bytes that are no response.

using namespace wist;

namespace {

const http_error kInvalid(true, false, "invalid response", true);
const http_error kBroken(true, false, "connection reset");

// A response whose lines are scripted. It ends, or fails if there is an error.
struct scripted_response {
  int status = 200;
  std::deque<std::string> lines;
  std::optional<http_error> error;
};

class scripted_stream final : public i_http_stream {
 public:
  explicit scripted_stream(scripted_response response)
      : response_(std::move(response)) {}

  int status() const override { return response_.status; }

  bool ReadLine(std::string& line) override {
    if (response_.lines.empty()) {
      if (response_.error)
        throw http_error(*response_.error);
      return false;
    }
    line = std::exchange(response_.lines.front(), {});
    response_.lines.pop_front();
    return true;
  }

 private:
  scripted_response response_;
};

// Returns the scripted responses one after another, and the last one again.
class scripted_client final : public i_http_client {
 public:
  http_response Call(const http_address&,
                     const http_request&,
                     timestamp) override {
    throw http_error(kBroken);
  }

  std::unique_ptr<i_http_stream> Open(const http_address&,
                                      const http_request&,
                                      timestamp,
                                      milliseconds) override {
    ++open_count;
    const scripted_response response = responses.front();
    if (responses.size() > 1)
      responses.pop_front();
    if (response.status == 0)
      throw http_error(*response.error);
    return std::make_unique<scripted_stream>(response);
  }

  std::deque<scripted_response> responses;
  int open_count = 0;
};

scripted_response Failed(const http_error& error) {
  return {0, {}, error};
}

scripted_response Token(int offset) {
  return {200, {"id: " + std::to_string(offset), "data: x", ""}, std::nullopt};
}

struct fixture {
  void Start() { stream.Start({}, clock.Now() + seconds(2)); }

  virtual_clock clock;
  scripted_client client;
  generation_stream stream{client, clock, {},
                           "g",    "r",   stream_format::completion};
};

// Whether reading fails since the target crashed; nullopt if it does not fail.
std::optional<bool> ReadUntilLost(fixture& f) {
  try {
    f.Start();
    for (int i = 0; i < 100; ++i)
      f.stream.Next();
    return std::nullopt;
  } catch (const generation_lost& lost) {
    CHECK(lost.may_have_run());
    return lost.target_crashed();
  }
}

}  // namespace

TEST_CASE("a target whose responses are invalid has not crashed") {
  fixture f;
  f.client.responses = {Failed(kInvalid)};
  CHECK(ReadUntilLost(f) == false);
  CHECK(f.client.open_count < 10);
}

TEST_CASE("a target that accepts no connections has crashed") {
  fixture f;
  f.client.responses = {Failed(kBroken)};
  CHECK(ReadUntilLost(f) == true);
  CHECK(f.client.open_count < 10);
}

TEST_CASE("a target whose streams have no events is given up") {
  for (const auto& error : {std::optional<http_error>(),
                            std::optional(kInvalid), std::optional(kBroken)}) {
    fixture f;
    f.client.responses = {{200, {}, error}};
    CHECK(ReadUntilLost(f) == false);
    CHECK(f.client.open_count < 10);
  }
}

// Guards against an event made of those of two responses: a response breaks off
// in the middle of an event, in a line or after one.
TEST_CASE("an event that breaks off is read whole from the next response") {
  const std::vector<std::string> cut = {"id: 0", "data: wrong"};
  for (const auto& error : {std::optional<http_error>(),
                            std::optional(kInvalid), std::optional(kBroken)}) {
    for (std::size_t line = 0; line < cut.size(); ++line) {
      for (std::size_t size = 0; size <= cut[line].size(); ++size) {
        INFO(size << " bytes of line " << line);
        fixture f;
        scripted_response broken{
            200,
            {cut.begin(),
             std::next(cut.begin(), static_cast<std::ptrdiff_t>(line))},
            error};
        // Reading returns an incomplete last line only if the response ends.
        if (size == cut[line].size() || (!error && size > 0))
          broken.lines.push_back(cut[line].substr(0, size));
        f.client.responses = {broken, Token(0), Token(1)};
        f.Start();
        for (int i = 0; i < 2; ++i) {
          const auto event = std::get<token_event>(f.stream.Next());
          CHECK(event.offset == i);
          CHECK(event.data == "x");
        }
      }
    }
  }
}

// Guards against events of a second response, where only the end of the
// connection ends the first one, and against such that follow the last event.
TEST_CASE("a second response adds no events to a generation") {
  for (const char* last : {"data: x", "data: [DONE]"}) {
    fixture f;
    f.client.responses = {Token(0)};
    auto& lines = f.client.responses.front().lines;
    lines.insert(lines.end(), {"id: 1", last, "", "HTTP/1.1 200 OK",
                               "Content-Type: text/event-stream", "", "id: 0",
                               "data: late", "", "data: [DONE]", ""});
    f.Start();
    f.stream.Next();
    if (std::holds_alternative<stream_done>(f.stream.Next()))
      continue;
    CHECK_THROWS_AS(f.stream.Next(), generation_lost);
    CHECK(f.client.open_count == 1);
  }
}

TEST_CASE("a stream that breaks after each event goes on") {
  fixture f;
  for (int i = 0; i < 5; ++i) {
    f.client.responses.push_back(Token(i));
    f.client.responses.push_back({200, {}, kBroken});
  }
  f.client.responses.push_back({200, {"data: [DONE]", ""}, std::nullopt});
  f.Start();
  for (int i = 0; i < 5; ++i)
    CHECK(std::get<token_event>(f.stream.Next()).offset == i);
  CHECK(std::holds_alternative<stream_done>(f.stream.Next()));
}
