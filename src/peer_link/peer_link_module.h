#ifndef PEER_LINK_PEER_LINK_MODULE_H_
#define PEER_LINK_PEER_LINK_MODULE_H_

#include <memory>

#include "framework/base/i_clock.h"
#include "framework/keys/i_keyring.h"
#include "peer_link/i_peer_link.h"

namespace wist {

// `sender_domain` is this instance's failure domain, which is sent with each
// call.
std::shared_ptr<i_peer_link> MakePeerLink(std::shared_ptr<const i_clock> clock,
                                          std::shared_ptr<const i_keyring> keys,
                                          const domain_id& sender_domain);

// Throws peer_error if it cannot listen on the address.
std::unique_ptr<i_peer_server> MakePeerServer(
    const std::string& address,
    std::shared_ptr<const i_keyring> keys,
    peer_call_handler handler);

}  // namespace wist

#endif  // PEER_LINK_PEER_LINK_MODULE_H_
