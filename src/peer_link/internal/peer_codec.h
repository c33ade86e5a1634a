#ifndef PEER_LINK_INTERNAL_PEER_CODEC_H_
#define PEER_LINK_INTERNAL_PEER_CODEC_H_

#include <string>

#include "framework/keys/i_keyring.h"
#include "peer_link/peer_types.h"

namespace wist {

// Messages are CBOR behind a signature. Decoding throws peer_error for a
// message that no key of the ring signed or that is malformed.
std::string EncodeCall(const i_keyring& keys, const addressed_call& call);
addressed_call DecodeCall(const i_keyring& keys, const std::string& bytes);
std::string EncodeAnswer(const i_keyring& keys, const peer_answer& answer);
peer_answer DecodeAnswer(const i_keyring& keys, const std::string& bytes);

}  // namespace wist

#endif  // PEER_LINK_INTERNAL_PEER_CODEC_H_
