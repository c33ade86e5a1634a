#include <catch2/catch.hpp>

#include "streams/event_splitter.h"

using namespace wist;

TEST_CASE("only complete events are returned, wherever the bytes are split") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    event_splitter splitter;
    const event_batch first = splitter.Feed(stream.substr(0, cut));
    CHECK((first.text.empty() || first.text.ends_with("\n")));
    const event_batch rest = splitter.Feed(stream.substr(cut));
    CHECK(first.text + rest.text == stream);
    CHECK(first.count + rest.count == 3);
    CHECK(splitter.event_count() == 3);
    CHECK((rest.last_id ? rest.last_id : first.last_id) == "3");
    CHECK_FALSE(splitter.HasPartial());
  }
}

TEST_CASE("an incomplete event is not returned and its id is ignored") {
  event_splitter splitter;
  const event_batch batch = splitter.Feed("id: 7\ndata: a\n\nid: 8\ndata: b");
  CHECK(batch.text == "id: 7\ndata: a\n\n");
  CHECK(batch.last_id == "7");
  CHECK(splitter.HasPartial());
  CHECK(splitter.event_count() == 1);
}

TEST_CASE("a batch without an id states none") {
  event_splitter splitter;
  CHECK(splitter.Feed("id: 7\ndata: a\n\n").last_id == "7");
  const event_batch batch = splitter.Feed("data: b\n\n");
  CHECK(batch.count == 1);
  CHECK_FALSE(batch.last_id);
}

TEST_CASE("ids of events increase if they are numbers") {
  CHECK(IsLaterEventId("10", "9"));
  CHECK_FALSE(IsLaterEventId("9", "10"));
  CHECK_FALSE(IsLaterEventId("9", "9"));
  CHECK(IsLaterEventId("b", "a"));
  CHECK(IsLaterEventId("a", "b"));
  CHECK_FALSE(IsLaterEventId("a", "a"));
  CHECK(IsLaterEventId("99999999999999999999", "9"));
}

// Guards against a second response that is passed on as an event.
TEST_CASE("a line that begins a response is noticed") {
  for (const char* text : {"HTTP/1.1 200 OK\r\nX: 1\r\n\r\n",
                           "id: 2\nHTTP/1.0 200 OK\r\nX: 1\r\n\r\n"}) {
    event_splitter splitter;
    splitter.Feed("id: 1\ndata: HTTP/1.1 200 OK\n\n");
    CHECK_FALSE(splitter.HasStatusLine());
    splitter.Feed(text);
    CHECK(splitter.HasStatusLine());
  }
}

// A target in trouble may send bytes that are no events, without end.
TEST_CASE("an event without end is noticed before it fills the memory") {
  event_splitter splitter;
  const std::string bytes(65'536, 'x');
  int count = 0;
  while (!splitter.IsTooLong() && count < 1000) {
    CHECK(splitter.Feed(bytes).text.empty());
    ++count;
  }
  CHECK(count <= 32);
}
