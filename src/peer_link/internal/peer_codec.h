#ifndef PEER_LINK_INTERNAL_PEER_CODEC_H_
#define PEER_LINK_INTERNAL_PEER_CODEC_H_

#include <string>

#include "framework/keys/i_keyring.h"
#include "peer_link/peer_types.h"

namespace wist {

// A message is a signature followed by its CBOR payload. Decoding throws
// peer_error for a message that is malformed or not signed with a key of the
// keyring.
std::string EncodeCall(const i_keyring& keys, const call_envelope& call);
call_envelope DecodeCall(const i_keyring& keys, const std::string& bytes);
std::string EncodeResponse(const i_keyring& keys,
                           const peer_response& response);
peer_response DecodeResponse(const i_keyring& keys, const std::string& bytes);

}  // namespace wist

#endif  // PEER_LINK_INTERNAL_PEER_CODEC_H_
