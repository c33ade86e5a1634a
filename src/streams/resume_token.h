#ifndef STREAMS_RESUME_TOKEN_H_
#define STREAMS_RESUME_TOKEN_H_

#include <optional>
#include <string>

#include "framework/keys/i_keyring.h"
#include "streams/stream_types.h"

namespace wist {

// Returns `point` as a signed text, which is sent as the id of a server-sent
// event.
std::string EncodeResumeToken(const i_keyring& keys, const resume_point& point);

// Returns nothing if the token is malformed or was not signed with a key of the
// keyring.
std::optional<resume_point> DecodeResumeToken(const i_keyring& keys,
                                              const std::string& token);

}  // namespace wist

#endif  // STREAMS_RESUME_TOKEN_H_
