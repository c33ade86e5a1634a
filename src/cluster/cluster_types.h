#ifndef CLUSTER_CLUSTER_TYPES_H_
#define CLUSTER_CLUSTER_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"
#include "quota/quota_types.h"

namespace wist {

// An instance as described by gossip. The pair (incarnation, heartbeat) of an
// instance only increases, so the greater one is the newer record.
struct member_record {
  instance_id id;
  domain_id domain;
  std::string address;  // host:port for peer messages.
  std::uint64_t incarnation = 0;
  std::uint64_t heartbeat = 0;
  bool leaving = false;

  auto operator<=>(const member_record&) const = default;
};

// Status of a failure domain in configuration `version`, as a live instance of
// that domain stated it `age` ago.
struct domain_status {
  domain_id domain;
  std::int64_t version = 0;
  bool in = false;
  milliseconds age{0};

  auto operator<=>(const domain_status&) const = default;
};

// Configuration version that the store held when it was read `age` ago.
struct store_status {
  std::int64_t version = 0;
  milliseconds age{0};

  auto operator<=>(const store_status&) const = default;
};

// A crash of `target` while it ran a request, and the time for which the crash
// is counted.
struct gossiped_crash {
  std::string request_digest;
  target_id target;
  milliseconds valid_for{0};
  // The parts of the prompt that may have caused it.
  std::vector<std::uint64_t> prompt_parts;

  auto operator<=>(const gossiped_crash&) const = default;
};

// Runs with a suspect of a crash, a request or a part of a prompt, have
// produced output.
struct gossiped_output {
  std::uint64_t suspect = 0;
  milliseconds age{0};

  auto operator<=>(const gossiped_output&) const = default;
};

// The message that each of two instances sends to the other in one exchange.
struct gossip_message {
  member_record self;
  std::int64_t configuration_version = 0;
  std::vector<member_record> members;
  std::vector<domain_status> domain_statuses;
  std::optional<store_status> store;
  std::vector<gossiped_crash> crashes;
  std::vector<gossiped_output> outputs;
};

struct cluster_settings {
  // A member whose heartbeat has not advanced for this long counts as dead.
  milliseconds member_timeout{4000};
  // The record of a member is removed after this time without an advance.
  seconds dead_member_retention{60};
  // A domain status or store read older than this does not permit new work in
  // another failure domain.
  milliseconds status_validity{2500};
  // Maximum number of member records in one message.
  std::size_t max_records_per_message = 16;
};

}  // namespace wist

#endif  // CLUSTER_CLUSTER_TYPES_H_
