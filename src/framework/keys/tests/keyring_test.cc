#include <catch2/catch.hpp>
#include <stdexcept>

#include "framework/keys/keys_module.h"

namespace wist {
namespace {

constexpr char kOldKey[] = "old:000102030405060708090a0b0c0d0e0f";
constexpr char kNewKey[] = "new:ffeeddccbbaa99887766554433221100";

}  // namespace

TEST_CASE("a signature is valid only for its own purpose and text") {
  const auto ring = MakeKeyring(kOldKey);
  const std::string signature = ring->Sign("resume", "text");
  CHECK(ring->Verify("resume", "text", signature));
  CHECK_FALSE(ring->Verify("peer", "text", signature));
  CHECK_FALSE(ring->Verify("resume", "other", signature));
  CHECK_FALSE(ring->Verify("resume", "text", signature + "0"));
  CHECK_FALSE(ring->Verify("resume", "text", "old"));
}

TEST_CASE("a rotated key verifies signatures as long as it is in the ring") {
  const std::string signature = MakeKeyring(kOldKey)->Sign("resume", "text");
  const std::string both = std::string(kNewKey) + "," + kOldKey;
  CHECK(MakeKeyring(both)->Verify("resume", "text", signature));
  CHECK_FALSE(MakeKeyring(kNewKey)->Verify("resume", "text", signature));
  CHECK(MakeKeyring(both)->Sign("resume", "text").rfind("new.", 0) == 0);
}

TEST_CASE("malformed key lists are rejected") {
  CHECK_THROWS_AS(MakeKeyring(""), std::invalid_argument);
  CHECK_THROWS_AS(MakeKeyring("id"), std::invalid_argument);
  CHECK_THROWS_AS(MakeKeyring("id:zz"), std::invalid_argument);
  CHECK_THROWS_AS(MakeKeyring("id:0011"), std::invalid_argument);
  CHECK_THROWS_AS(MakeKeyring(std::string(kOldKey) + "," + kOldKey),
                  std::invalid_argument);
}

}  // namespace wist
