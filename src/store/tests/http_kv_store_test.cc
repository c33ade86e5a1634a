#include <catch2/catch.hpp>

#include <string>
#include <variant>

#include "framework/base/tests/mocks/virtual_clock.h"
#include "store/store_module.h"

// Guards against a response of the key-value service that is valid in HTTP and
// lacks what a response has to state.

using namespace wist;

namespace {

class scripted_client final : public i_http_client {
 public:
  http_response Call(const http_address&,
                     const http_request&,
                     timestamp) override {
    return response;
  }
  std::unique_ptr<i_http_stream> Open(const http_address&,
                                      const http_request&,
                                      timestamp,
                                      milliseconds) override {
    return nullptr;
  }

  http_response response;
};

struct fixture {
  std::shared_ptr<virtual_clock> clock = std::make_shared<virtual_clock>();
  std::shared_ptr<scripted_client> client = std::make_shared<scripted_client>();
  std::shared_ptr<i_kv_store> store =
      MakeHttpKvStore(client, clock, {"h", 80}, "d");
  std::shared_ptr<i_instance_list> instances =
      MakeHttpInstanceList(client, {"h", 80}, "d");
  timestamp deadline = clock->Now() + seconds(1);
};

const char* const kInvalidBodies[] = {"",
                                      "nonsense",
                                      "[]",
                                      "{}",
                                      R"({"value":"v","revision":"4"})",
                                      R"({"value":"v","revision":-4})",
                                      R"({"value":"v","revision":4.5})",
                                      R"({"value":"v","revision":1e300})",
                                      R"({"value":7,"revision":4})",
                                      R"({"value":"v"})",
                                      R"({"revision":4})",
                                      R"({"fencing_number":"4"})",
                                      R"({"instances":4})",
                                      R"({"instances":{}})"};

}  // namespace

TEST_CASE("an entry, a lease and the instances are read") {
  fixture f;
  f.client->response = {200, {}, R"({"value":"v","revision":4})"};
  CHECK(f.store->Read("k", f.deadline).revision == 4);
  CHECK(std::holds_alternative<kv_written>(
      f.store->CompareAndSwap("k", 3, "v", f.deadline)));
  f.client->response = {200, {}, R"({"fencing_number":9})"};
  CHECK(
      f.store->AcquireLease("l", "i", seconds(2), f.deadline)->fencing_number ==
      9);
  f.client->response = {
      200,
      {},
      R"({"instances":[{"id":"a","domain":"d","peer_address":"h:1"}]})"};
  const auto listed = f.instances->List(f.deadline);
  REQUIRE(listed.size() == 1);
  CHECK(listed[0].peer_address == "h:1");
  CHECK_FALSE(listed[0].leaving);
}

TEST_CASE("a read with an invalid body finds the service unavailable") {
  for (const char* body : kInvalidBodies) {
    INFO(body);
    fixture f;
    f.client->response = {200, {}, body};
    CHECK_THROWS_AS(f.store->Read("k", f.deadline), kv_unavailable);
    CHECK_THROWS_AS(f.store->Watch("k", 1, f.deadline), kv_unavailable);
    CHECK_THROWS_AS(f.store->AcquireLease("l", "i", seconds(2), f.deadline),
                    kv_unavailable);
    CHECK_THROWS_AS(f.instances->List(f.deadline), kv_unavailable);
  }
}

TEST_CASE("an odd entry among the instances does not hide the others") {
  for (const char* odd :
       {"4", "{}", R"({"id":4,"domain":"d","peer_address":"h:1"})",
        R"({"domain":"d","peer_address":"h:1"})",
        R"({"id":"a","domain":"d","peer_address":"h:1","leaving":"no"})"}) {
    INFO(odd);
    fixture f;
    f.client->response = {200,
                          {},
                          R"({"instances":[)" + std::string(odd) +
                              R"(,{"id":"b","domain":"d","peer_address":"h:2",
                              "leaving":true}]})"};
    const auto listed = f.instances->List(f.deadline);
    REQUIRE(listed.size() == 1);
    CHECK(listed[0].id == "b");
    CHECK(listed[0].leaving);
  }
}

// The write may have been executed.
TEST_CASE("a write with an invalid body is in doubt") {
  for (const int status : {200, 409}) {
    for (const char* body : kInvalidBodies) {
      INFO(body);
      fixture f;
      f.client->response = {status, {}, body};
      CHECK(std::holds_alternative<kv_in_doubt>(
          f.store->CompareAndSwap("k", 3, "v", f.deadline)));
    }
  }
}
