#include "framework/http/http_types.h"

#include <catch2/catch.hpp>

namespace wist {

TEST_CASE("an address consists of a host and a port") {
  CHECK(ParseHttpAddress("127.0.0.1:80") == http_address{"127.0.0.1", 80});
  for (const char* text :
       {"", "host", ":80", "host:", "host:0", "host:65536", "host:8x"}) {
    CHECK_THROWS_AS(ParseHttpAddress(text), std::invalid_argument);
  }
}

TEST_CASE("header names are case-insensitive") {
  const http_response response{200, {{"Retry-After", "3"}}, ""};
  CHECK(response.Header("retry-after") == "3");
  CHECK(response.Header("other").empty());
}

}  // namespace wist
