#include "framework/base/hashing.h"

#include <catch2/catch.hpp>

namespace wist {

TEST_CASE("SHA-256 of an empty string matches the published value") {
  CHECK(Sha256Hex("") ==
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

TEST_CASE("StableHash depends on the text and on the seed") {
  CHECK(StableHash("a") == StableHash("a"));
  CHECK(StableHash("a") != StableHash("b"));
  CHECK(StableHash("a", 1) != StableHash("a", 2));
}

TEST_CASE(
    "RandomHex returns two characters per byte and a new value each time") {
  CHECK(RandomHex(16).size() == 32);
  CHECK(RandomHex(16) != RandomHex(16));
}

}  // namespace wist
