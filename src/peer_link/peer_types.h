#ifndef PEER_LINK_PEER_TYPES_H_
#define PEER_LINK_PEER_TYPES_H_

#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "claims/claim_types.h"
#include "cluster/cluster_types.h"
#include "coldstart/coldstart_types.h"
#include "quota/quota_types.h"

namespace wist {

// Calls from one instance to another. The order of the alternatives of
// peer_call and peer_response is part of the wire format.
struct gossip_call {
  gossip_message message;
};
// Requests the callee's current configuration as text.
struct configuration_call {};
struct tally_call {
  instance_id member;
  std::vector<target_tally> tallies;
};
struct permit_call {
  instance_id member;
  std::vector<cold_permit_request> requests;
};
// Operations on claim buckets for which the callee is the writer.
struct claim_call {
  std::vector<bucket_operation> operations;
};
using peer_call = std::variant<gossip_call,
                               configuration_call,
                               tally_call,
                               permit_call,
                               claim_call>;

// A call and the failure domain of its sender.
struct call_envelope {
  domain_id sender_domain;
  peer_call call;
};

// Responses, in the order of the calls.
struct gossip_response {
  gossip_message message;
};
struct configuration_response {
  std::string document;  // Empty if the callee has none.
};
// The deadlines of the grants are not transmitted; they count from the call.
struct tally_response {
  std::vector<quota_grant> grants;
};
struct permit_response {
  std::vector<cold_permit> permits;
};
struct claim_response {
  std::vector<claim_result> results;
};
// The callee refused the call or could not decode it.
struct refusal_response {};
using peer_response = std::variant<gossip_response,
                                   configuration_response,
                                   tally_response,
                                   permit_response,
                                   claim_response,
                                   refusal_response>;

// A peer could not be reached, or its message could not be decoded.
class peer_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace wist

#endif  // PEER_LINK_PEER_TYPES_H_
