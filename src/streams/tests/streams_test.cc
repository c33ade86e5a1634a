#include <catch2/catch.hpp>
#include <deque>

#include "framework/keys/keys_module.h"
#include "streams/event_reader.h"
#include "streams/resume_token.h"

namespace wist {
namespace {

const resume_point kPoint{target_id("engine-1"), "abc", 17,
                          stream_format::chat};

// Returns the lines given by the test.
class fake_stream final : public i_http_stream {
 public:
  explicit fake_stream(std::deque<std::string> lines)
      : lines_(std::move(lines)) {}
  int status() const override { return 200; }
  bool ReadLine(std::string& line) override {
    if (lines_.empty())
      return false;
    line = lines_.front();
    lines_.pop_front();
    return true;
  }

 private:
  std::deque<std::string> lines_;
};

}  // namespace

TEST_CASE("a resume token decodes to the resume point that it encodes") {
  const auto keys = MakeKeyring("k:000102030405060708090a0b0c0d0e0f");
  CHECK(DecodeResumeToken(*keys, EncodeResumeToken(*keys, kPoint)) == kPoint);
}

TEST_CASE("a modified resume token or one of another keyring is rejected") {
  const auto keys = MakeKeyring("k:000102030405060708090a0b0c0d0e0f");
  const auto other = MakeKeyring("k:ff0102030405060708090a0b0c0d0e0f");
  std::string token = EncodeResumeToken(*keys, kPoint);
  CHECK_FALSE(DecodeResumeToken(*other, token));
  token.replace(token.find("17"), 2, "18");
  CHECK_FALSE(DecodeResumeToken(*keys, token));
  for (const char* text : {"", "|", "a|b|c|d|k.00", "x"})
    CHECK_FALSE(DecodeResumeToken(*keys, text));
}

TEST_CASE("events are read in order up to the final one") {
  fake_stream stream({"id: 4", "data: {}", "", "data: [DONE]", ""});
  event_reader reader(stream, 4);
  CHECK(std::get<token_event>(*reader.Next()).offset == 4);
  CHECK(std::holds_alternative<stream_done>(*reader.Next()));
}

TEST_CASE("a missing or repeated offset is an error") {
  fake_stream gap({"id: 1", "data: {}", ""});
  CHECK_THROWS_AS(event_reader(gap, 0).Next(), stream_protocol_error);
  fake_stream repeated({"id: 0", "data: {}", "", "id: 0", "data: {}", ""});
  event_reader reader(repeated, 0);
  reader.Next();
  CHECK_THROWS_AS(reader.Next(), stream_protocol_error);
}

TEST_CASE("a stream without a final event is reported as incomplete") {
  fake_stream stream({"id: 0", "data: {}"});
  CHECK_FALSE(event_reader(stream, 0).Next());
}

// A response may break off inside a line. The event is read again.
TEST_CASE("an id that is cut off is no error before its event is complete") {
  fake_stream cut({"id: "});
  CHECK_FALSE(event_reader(cut, 0).Next());
  fake_stream invalid({"id: ", "data: {}", ""});
  CHECK_THROWS_AS(event_reader(invalid, 0).Next(), stream_protocol_error);
}

TEST_CASE("token texts are decoded in both formats") {
  CHECK(TokenText(R"({"choices":[{"text":"a"}]})", stream_format::completion) ==
        "a");
  CHECK(TokenText(R"({"choices":[{"delta":{"content":"b"}}]})",
                  stream_format::chat) == "b");
  CHECK_THROWS_AS(TokenText("[]", stream_format::chat), stream_protocol_error);
}

}  // namespace wist
