#ifndef PEER_LINK_I_PEER_LINK_H_
#define PEER_LINK_I_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <string>

#include "peer_link/peer_types.h"

namespace wist {

// Calls other instances. Thread-safe.
class i_peer_link {
 public:
  virtual ~i_peer_link() = default;

  // Returns the response of the instance at `address` (host:port). Throws
  // peer_error if there is none by `deadline`.
  virtual peer_response Call(const std::string& address,
                             const peer_call& call,
                             timestamp deadline) = 0;

  // Returns the bytes sent and received since the start, for comparison with
  // the budget for control traffic.
  virtual std::uint64_t BytesTransferred() const = 0;
};

using peer_call_handler = std::function<peer_response(const call_envelope&)>;

// Serves the calls of other instances for as long as it exists.
class i_peer_server {
 public:
  virtual ~i_peer_server() = default;
  virtual std::uint64_t BytesTransferred() const = 0;
};

}  // namespace wist

#endif  // PEER_LINK_I_PEER_LINK_H_
