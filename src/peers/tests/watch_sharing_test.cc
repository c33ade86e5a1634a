#include <catch2/catch.hpp>

#include <set>

#include "framework/net/tests/mocks/scripted_connector.h"
#include "framework/net/tests/mocks/virtual_scheduler.h"
#include "peers/tests/mocks/mirror_responses.h"
#include "peers/watch_tree_reader.h"

// Tests that an instance reads the store through others where it can, because
// the store charges for each call.

using namespace wist;

namespace {

known_instance Instance(int number, const std::string& domain = "d") {
  return {"i" + std::to_string(number),
          domain_id(domain),
          {"10.0.0." + std::to_string(number), 7200}};
}

class counting_store final : public i_store_reader {
 public:
  void ReadRange(const std::string&,
                 const std::string&,
                 std::function<void(range_result)> done) override {
    ++calls;
    done(range_page{{}, false, 5});
  }
  void Watch(const std::string&,
             store_revision,
             milliseconds,
             std::function<void(watch_result)> done) override {
    ++calls;
    if (is_unavailable)
      return done(store_error::unavailable);
    done(watch_page{{}, 5});
  }
  int calls = 0;
  bool is_unavailable = false;
};

struct fixture {
  void Watch() {
    store.Watch("", 5, milliseconds(800), [this](watch_result result) {
      last_result = std::move(result);
    });
  }

  virtual_scheduler scheduler;
  scripted_connector connector;
  std::unique_ptr<i_http_caller> caller = MakeHttpCaller(connector, scheduler);
  counting_store direct;
  // Parents in the order in which they are tried.
  std::vector<known_instance> parents = {Instance(1)};
  // Parent that is used only if the store rejects this instance.
  std::optional<known_instance> substitute;
  watch_tree_reader store{
      direct, *caller, scheduler,
      [this](const std::set<std::string>& unusable, bool store_refuses) {
        std::optional<known_instance> found;
        if (store_refuses)
          found = substitute;
        for (const known_instance& parent : parents) {
          if (!found && !unusable.contains(parent.name))
            found = parent;
        }
        return mirror_source{found, patience};
      }};
  milliseconds patience{0};
  std::optional<watch_result> last_result;
};

}  // namespace

TEST_CASE("a watch through a parent makes no call to the store") {
  fixture f;
  f.Watch();
  CHECK(f.connector.addresses.at(0) == Instance(1).address);
  const watch_page page{{{"k", "v", 6}}, 6, milliseconds(40)};
  f.connector.channels[0]->Receive(OkResponse(EncodePage(watch_result(page))));
  REQUIRE(f.last_result);
  CHECK(std::get<watch_page>(*f.last_result) == page);
  CHECK(f.direct.calls == 0);
}

// Guards against a page in bytes that are no response in HTTP.
TEST_CASE("a parent whose response is invalid is replaced by the store") {
  const std::string page = EncodePage(
      watch_result(watch_page{{{"k", "v", 6}}, 6, milliseconds(40)}));
  const std::string length =
      "Content-Length: " + std::to_string(page.size()) + "\r\n\r\n";
  for (const std::string head :
       {"HTTP/1.1 000 X\r\n", "HTTP/1.1 999 X\r\n",
        "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\nX\x01: 1\r\n",
        "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"}) {
    INFO(head);
    fixture f;
    f.Watch();
    f.connector.channels[0]->Receive(head + length + page);
    CHECK(f.connector.channels[0]->aborted);
    CHECK(f.direct.calls == 1);
    REQUIRE(f.last_result);
    CHECK(std::get<watch_page>(*f.last_result).changes.empty());
  }
}

// Guards against a page from whoever answers at the address of a parent.
TEST_CASE("a page is read from a response with status 200 only") {
  const std::string page = EncodePage(
      watch_result(watch_page{{{"k", "v", 6}}, 6, milliseconds(40)}));
  for (const int status : {201, 404, 500, 503}) {
    INFO(status);
    fixture f;
    f.Watch();
    f.connector.channels[0]->Receive(EncodeHttpResponse(status, {}, page));
    CHECK(f.direct.calls == 1);
    REQUIRE(f.last_result);
    CHECK(std::get<watch_page>(*f.last_result).changes.empty());
  }
  fixture f;
  f.store.ReadRange("", "", [](const range_result&) {});
  f.connector.channels[0]->Receive(EncodeHttpResponse(
      404, {},
      EncodePage(range_result(range_page{{{"k", "v", 6}}, false, 6}))));
  CHECK(f.direct.calls == 1);
}

TEST_CASE("a parent that does not respond is replaced by the store in time") {
  fixture f;
  f.Watch();
  f.scheduler.Advance(milliseconds(549));
  CHECK(f.direct.calls == 0);
  f.scheduler.Advance(milliseconds(2));
  CHECK(f.direct.calls == 1);
  CHECK(f.last_result);
  f.scheduler.Advance(milliseconds(500));
  f.Watch();
  CHECK(f.direct.calls == 2);
  f.scheduler.Advance(milliseconds(2000));
  f.Watch();
  CHECK(f.direct.calls == 2);
}

TEST_CASE("a parent whose mirror is too old is replaced for some time") {
  fixture f;
  f.Watch();
  const watch_page old{{}, 5, kMaxMirrorAge + milliseconds(1)};
  f.connector.channels[0]->Receive(OkResponse(EncodePage(watch_result(old))));
  CHECK(f.direct.calls == 1);
  f.scheduler.Advance(milliseconds(500));
  f.Watch();
  CHECK(f.direct.calls == 2);
}

TEST_CASE(
    "a range from a mirror that is too old is read from the store instead") {
  fixture f;
  std::optional<range_result> last_result;
  f.store.ReadRange(
      "", "", [&](range_result result) { last_result = std::move(result); });
  const range_page old{{}, false, 4, kMaxMirrorAge + milliseconds(1)};
  f.connector.channels[0]->Receive(OkResponse(EncodePage(range_result(old))));
  CHECK(f.direct.calls == 1);
  CHECK(std::get<range_page>(*last_result).at_revision == 5);
}

TEST_CASE("watches of the store that return changes are limited in rate") {
  fixture f;
  f.parents.clear();
  int responses = 0;
  std::function<void(watch_result)> again = [&](watch_result) {
    ++responses;
    f.store.Watch("", 5, milliseconds(600), again);
  };
  f.store.Watch("", 5, milliseconds(600), again);
  f.scheduler.Advance(seconds(1));
  CHECK(responses == f.direct.calls);
  CHECK(f.direct.calls <= 10);
  CHECK(f.direct.calls >= 8);
}

TEST_CASE("a parent that has lost the store is replaced at once") {
  fixture f;
  f.Watch();
  f.connector.channels[0]->Receive(
      OkResponse(EncodePage(watch_result(store_error::unavailable))));
  CHECK(f.direct.calls == 1);
}

TEST_CASE(
    "a parent that is unavailable is replaced by the next one, not the store") {
  fixture f;
  f.parents = {Instance(1), Instance(2), Instance(3)};
  const std::string unavailable_response = UnavailableResponse();
  f.Watch();
  f.connector.channels[0]->Receive(unavailable_response);
  REQUIRE(f.connector.addresses.size() == 2);
  CHECK(f.connector.addresses[1] == Instance(2).address);
  const watch_page page{{{"k", "v", 6}}, 6, milliseconds(40)};
  f.connector.channels[1]->Receive(OkResponse(EncodePage(watch_result(page))));
  CHECK(f.direct.calls == 0);
  CHECK(std::get<watch_page>(*f.last_result) == page);
}

TEST_CASE("the store is read directly after two unavailable parents") {
  fixture f;
  f.parents = {Instance(1), Instance(2), Instance(3)};
  const std::string unavailable_response = UnavailableResponse();
  f.Watch();
  f.connector.channels[0]->Receive(unavailable_response);
  f.connector.channels[1]->Receive(unavailable_response);
  CHECK(f.direct.calls == 1);
  CHECK(f.last_result);
}

TEST_CASE(
    "an instance that the store rejects reads from another one for some time") {
  fixture f;
  f.parents.clear();
  f.substitute = Instance(2);
  f.direct.is_unavailable = true;
  f.Watch();
  CHECK(f.direct.calls == 1);
  f.Watch();
  CHECK(f.direct.calls == 1);
  REQUIRE(f.connector.addresses.size() == 1);
  CHECK(f.connector.addresses[0] == Instance(2).address);
  f.scheduler.Advance(milliseconds(3000));
  f.Watch();
  CHECK(f.direct.calls >= 2);
}

TEST_CASE("a malformed page counts as a failure of the parent") {
  fixture f;
  f.Watch();
  f.connector.channels[0]->Receive(OkResponse("nonsense"));
  CHECK(f.direct.calls == 1);
}

TEST_CASE(
    "a missing history is passed on so that the caller reads the range again") {
  fixture f;
  f.Watch();
  f.connector.channels[0]->Receive(
      OkResponse(EncodePage(watch_result(store_error::history_gone))));
  CHECK(std::get<store_error>(*f.last_result) == store_error::history_gone);
  CHECK(f.direct.calls == 0);
}

TEST_CASE("an instance below the roots leaves it to them to find a source") {
  fixture f;
  f.patience = milliseconds(2500);
  f.Watch();
  const std::string unavailable_response = UnavailableResponse();
  int responses = 0;
  for (int i = 0; i < 24; ++i) {
    f.connector.channels.back()->Receive(unavailable_response);
    REQUIRE(f.last_result);
    ++responses;
    f.last_result.reset();
    f.scheduler.Advance(milliseconds(100));
    f.Watch();
  }
  CHECK(responses == 24);
  CHECK(f.direct.calls == 0);
  // The parent is called again and has found one.
  const watch_page page{{{"k", "v", 6}}, 6, milliseconds(40)};
  f.connector.channels.back()->Receive(
      OkResponse(EncodePage(watch_result(page))));
  CHECK(std::get<watch_page>(*f.last_result) == page);
  CHECK(f.connector.addresses.size() == 1);
}

TEST_CASE("an instance whose roots find no source reads the store itself") {
  fixture f;
  f.patience = milliseconds(1000);
  f.direct.is_unavailable = true;
  const std::string unavailable_response = UnavailableResponse();
  for (int i = 0; i < 60; ++i) {
    f.Watch();
    f.connector.channels.back()->Receive(unavailable_response);
    f.scheduler.Advance(milliseconds(100));
  }
  // After one second and three seconds later.
  CHECK(f.direct.calls == 2);
}

TEST_CASE("a parent that is not known yet is waited for a short time") {
  fixture f;
  f.parents.clear();
  f.patience = milliseconds(300);
  f.Watch();
  f.scheduler.Advance(milliseconds(299));
  CHECK(f.direct.calls == 0);
  f.scheduler.Advance(milliseconds(2));
  CHECK(f.direct.calls == 1);

  fixture found;
  found.parents.clear();
  found.patience = milliseconds(300);
  found.Watch();
  found.parents = {Instance(1)};
  found.scheduler.Advance(milliseconds(60));
  CHECK(found.connector.addresses.size() == 1);
  CHECK(found.direct.calls == 0);
}

TEST_CASE(
    "a range read waits a short time for a parent that is not known yet") {
  fixture f;
  f.parents.clear();
  f.patience = milliseconds(300);
  int done = 0;
  f.store.ReadRange("", "", [&](range_result) { ++done; });
  f.scheduler.Advance(milliseconds(299));
  CHECK(f.direct.calls == 0);
  f.scheduler.Advance(milliseconds(2));
  CHECK(f.direct.calls == 1);
  CHECK(done == 1);

  fixture found;
  found.parents.clear();
  found.patience = milliseconds(300);
  found.store.ReadRange("", "", [](range_result) {});
  found.parents = {Instance(1)};
  found.scheduler.Advance(milliseconds(60));
  CHECK(found.connector.addresses.size() == 1);
  CHECK(found.direct.calls == 0);
}

// Guards against a parent that has not noticed that the store has returned from
// an older copy.
TEST_CASE("a parent of an earlier era is replaced") {
  fixture f;
  f.Watch();
  f.connector.channels[0]->Receive(
      OkResponse(EncodePage(watch_result(watch_page{{}, {2, 5}}))));
  CHECK(f.direct.calls == 0);
  f.Watch();
  f.connector.channels[0]->Receive(
      OkResponse(EncodePage(watch_result(watch_page{{}, {1, 90}}))));
  CHECK(f.direct.calls == 1);
}

TEST_CASE("a range from a parent of an earlier era is read from the store") {
  fixture f;
  f.Watch();
  f.connector.channels[0]->Receive(
      OkResponse(EncodePage(watch_result(watch_page{{}, {2, 5}}))));
  std::optional<range_result> range;
  f.store.ReadRange("", "",
                    [&](range_result result) { range = std::move(result); });
  f.connector.channels[0]->Receive(
      OkResponse(EncodePage(range_result(range_page{{}, false, {1, 90}}))));
  CHECK(f.direct.calls == 1);
  CHECK(range);
}

// Guards against a parent that takes this instance's revision for one of its
// own era.
TEST_CASE("a watch through a parent states the era of its revision") {
  fixture f;
  f.store.Watch("", {2, 5}, milliseconds(800), [](const watch_result&) {});
  CHECK(f.connector.channels[0]->written.find("since=5&era=2&") !=
        std::string::npos);
}
