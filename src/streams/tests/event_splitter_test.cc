#include <catch2/catch.hpp>

#include "streams/event_splitter.h"

using namespace wist;

TEST_CASE("only complete events are returned, wherever the bytes are split") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    event_splitter splitter;
    std::string got = splitter.Feed(stream.substr(0, cut));
    CHECK((got.empty() || got.ends_with("\n")));
    got += splitter.Feed(stream.substr(cut));
    CHECK(got == stream);
    CHECK(splitter.event_count() == 3);
    CHECK(splitter.last_id() == "3");
    CHECK_FALSE(splitter.HasPartial());
  }
}

TEST_CASE("an incomplete event is dropped and its id is ignored") {
  event_splitter splitter;
  CHECK(splitter.Feed("id: 7\ndata: a\n\nid: 8\ndata: b") ==
        "id: 7\ndata: a\n\n");
  CHECK(splitter.HasPartial());
  CHECK(splitter.last_id() == "7");
  splitter.DropPartial();
  CHECK(splitter.Feed("id: 8\ndata: b\n\n") == "id: 8\ndata: b\n\n");
}

// A target in trouble may send bytes that are no events, without end.
TEST_CASE("an event without end is noticed before it fills the memory") {
  event_splitter splitter;
  const std::string bytes(65'536, 'x');
  int count = 0;
  while (!splitter.IsTooLong() && count < 1000) {
    CHECK(splitter.Feed(bytes).empty());
    ++count;
  }
  CHECK(count <= 32);
  splitter.DropPartial();
  CHECK_FALSE(splitter.IsTooLong());
}
