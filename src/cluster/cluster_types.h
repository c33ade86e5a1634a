#ifndef CLUSTER_CLUSTER_TYPES_H_
#define CLUSTER_CLUSTER_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"
#include "limits/limits_types.h"
#include "quota/quota_types.h"

namespace wist {

// An instance as gossip tells of it. (incarnation, heartbeat) only grows.
struct member_record {
  instance_id id;
  domain_id domain;
  std::string address;  // host:port for peer messages.
  std::uint64_t incarnation = 0;
  std::uint64_t heartbeat = 0;
  bool leaving = false;

  auto operator<=>(const member_record&) const = default;
};

// What a live instance of `domain` said of it `age` ago.
struct domain_word {
  domain_id domain;
  std::int64_t version = 0;
  bool in = false;
  milliseconds age{0};

  auto operator<=>(const domain_word&) const = default;
};

// The platform's service held configuration `version` `age` ago.
struct store_word {
  std::int64_t version = 0;
  milliseconds age{0};

  auto operator<=>(const store_word&) const = default;
};

// A crash strike with the time it still counts.
struct told_strike {
  std::string request_digest;
  target_id target;
  milliseconds counts_for{0};

  auto operator<=>(const told_strike&) const = default;
};

// What two instances tell each other in one exchange.
struct gossip {
  member_record self;
  std::int64_t configuration_version = 0;
  std::vector<member_record> members;
  std::vector<domain_word> words;
  std::optional<store_word> store;
  std::vector<told_strike> strikes;
};

struct cluster_settings {
  // A member whose heartbeat stood still this long counts as dead.
  milliseconds member_validity{4000};
  // A dead member is forgotten after this time.
  seconds forget_after{60};
  // Word older than this does not allow work into another failure domain.
  milliseconds word_validity{2500};
  // Member records in one message at the most.
  std::size_t records_a_message = 16;
};

}  // namespace wist

#endif  // CLUSTER_CLUSTER_TYPES_H_
