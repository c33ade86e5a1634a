#include <catch2/catch.hpp>

#include <map>
#include <utility>

#include "framework/net/tests/mocks/scripted_connector.h"
#include "framework/net/tests/mocks/virtual_scheduler.h"
#include "peers/mirror_server.h"
#include "peers/tests/mocks/mirror_responses.h"

using namespace wist;

namespace {

// An instance's mirror and one reader of it.
struct mirror_fixture {
  // Returns the page that the reader has received, and discards it.
  std::string TakeResponse() { return std::exchange(channel->written, {}); }

  void Get(const std::string& target) {
    channel->Receive("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }

  void SetContent(const std::map<std::string, store_change>& items = {}) {
    mirror.SetAll(items);
    mirror.Confirm(5, scheduler.Now());
  }

  mirror_fixture() { server.Accept(channel); }

  virtual_scheduler scheduler;
  store_mirror mirror;
  mirror_server server{mirror, scheduler, 16};
  std::shared_ptr<scripted_channel> channel =
      std::make_shared<scripted_channel>();
};

}  // namespace

TEST_CASE("the next change of the mirror completes pending watches") {
  mirror_fixture f;
  f.SetContent();
  f.Get("/watch?prefix=&since=5&wait_ms=400");
  CHECK(f.TakeResponse().empty());
  f.mirror.Apply({"k", "v", 6});
  f.mirror.Confirm(6, f.scheduler.Now());
  CHECK(f.TakeResponse().starts_with("HTTP/1.1 200"));
  f.Get("/watch?prefix=&since=6&wait_ms=400");
  f.scheduler.Advance(milliseconds(399));
  CHECK(f.TakeResponse().empty());
  f.scheduler.Advance(milliseconds(2));
  CHECK(f.TakeResponse().starts_with("HTTP/1.1 200"));
}

TEST_CASE("pending watches fail at once when the mirror loses its source") {
  mirror_fixture f;
  f.SetContent();
  f.Get("/watch?prefix=&since=5&wait_ms=400");
  f.server.OnSourceLost();
  CHECK(f.TakeResponse().starts_with("HTTP/1.1 200"));
  f.scheduler.Advance(milliseconds(500));
  CHECK(f.TakeResponse().empty());
}

TEST_CASE(
    "a mirror without its source is unavailable until it is confirmed again") {
  mirror_fixture f;
  f.SetContent();
  f.server.OnSourceLost();
  for (const char* target :
       {"/watch?prefix=&since=5&wait_ms=300", "/range?prefix="}) {
    f.Get(target);
    CHECK(f.TakeResponse() == UnavailableResponse());
  }
  f.mirror.Confirm(6, f.scheduler.Now());
  f.Get("/range?prefix=");
  const std::string response = f.TakeResponse();
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response != UnavailableResponse());
}

TEST_CASE("a malformed request closes only its own channel") {
  virtual_scheduler scheduler;
  store_mirror mirror;
  mirror_server server(mirror, scheduler, 16);
  for (const char* target : {"/watch?%zz=%", "//:x", "/other"}) {
    const auto channel = std::make_shared<scripted_channel>();
    server.Accept(channel);
    CHECK_NOTHROW(channel->Receive(std::string("GET ") + target +
                                   " HTTP/1.1\r\nHost: h\r\n\r\n"));
  }
}

TEST_CASE("a range read waits for a parent that has just started") {
  mirror_fixture f;
  f.Get("/range?prefix=&wait_ms=600");
  CHECK(f.TakeResponse().empty());
  f.SetContent({{"k", {"k", "v", 4}}});
  const range_page page{{{"k", "v", 4}}, false, 5};
  CHECK(f.TakeResponse() == OkResponse(EncodePage(range_result(page))));

  mirror_fixture starting;
  starting.Get("/range?prefix=&wait_ms=600");
  starting.scheduler.Advance(milliseconds(601));
  CHECK(starting.TakeResponse() == UnavailableResponse());
}

TEST_CASE("a page states how long its call was held") {
  mirror_fixture f;
  f.SetContent();
  f.Get("/watch?prefix=&since=5&wait_ms=300");
  f.scheduler.Advance(milliseconds(250));
  f.mirror.Confirm(6, f.scheduler.Now());
  f.scheduler.Advance(milliseconds(60));
  const watch_page page{{}, 6, milliseconds(50), milliseconds(300)};
  CHECK(f.TakeResponse() == OkResponse(EncodePage(watch_result(page))));
}

TEST_CASE("pages state gaps in their changes") {
  for (const std::int64_t era : {0, 2}) {
    watch_page page{{{"k", "v", {era, 3}}}, {era, 5}, milliseconds(40)};
    page.has_gap = true;
    CHECK(std::get<watch_page>(
              DecodeWatchPage(EncodePage(watch_result(page)))) == page);
  }
}

TEST_CASE("pages name the eras of their revisions") {
  const watch_page watch{{{"k", "v", {1, 9}}, {"l", std::nullopt, {2, 3}}},
                         {2, 5},
                         milliseconds(40),
                         milliseconds(7)};
  CHECK(std::get<watch_page>(
            DecodeWatchPage(EncodePage(watch_result(watch)))) == watch);
  const range_page range{{{"k", "v", {1, 9}}}, false, {2, 5}, milliseconds(40)};
  CHECK(std::get<range_page>(
            DecodeRangePage(EncodePage(range_result(range)))) == range);
}

// Guards against instances of earlier versions, which state no era, that would
// read all entries again and again.
TEST_CASE("a watch that states no era is one of the mirror's era") {
  mirror_fixture f;
  f.mirror.SetAll({});
  f.mirror.Confirm({4, 5}, f.scheduler.Now());
  f.Get("/watch?prefix=&since=5&wait_ms=400");
  CHECK(f.TakeResponse().empty());
  f.mirror.Apply({"k", "v", {4, 6}});
  f.mirror.Confirm({4, 6}, f.scheduler.Now());
  CHECK(f.TakeResponse().starts_with("HTTP/1.1 200"));
  f.Get("/watch?prefix=&since=5&era=3&wait_ms=400");
  CHECK(f.TakeResponse() ==
        OkResponse(EncodePage(watch_result(store_error::history_gone))));
}
