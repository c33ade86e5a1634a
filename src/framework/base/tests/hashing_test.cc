#include "framework/base/hashing.h"

#include <catch2/catch.hpp>

namespace wist {

TEST_CASE("SHA-256 matches the published value for an empty text") {
  CHECK(Sha256Hex("") ==
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

TEST_CASE("the stable hash depends on text and seed") {
  CHECK(StableHash("a") == StableHash("a"));
  CHECK(StableHash("a") != StableHash("b"));
  CHECK(StableHash("a", 1) != StableHash("a", 2));
}

TEST_CASE("random hexadecimal has two characters a byte and does not repeat") {
  CHECK(RandomHex(16).size() == 32);
  CHECK(RandomHex(16) != RandomHex(16));
}

}  // namespace wist
