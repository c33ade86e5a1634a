#ifndef STREAMS_RESUME_TOKEN_H_
#define STREAMS_RESUME_TOKEN_H_

#include <optional>
#include <string>

#include "framework/keys/i_keyring.h"
#include "streams/stream_types.h"

namespace wist {

// Returns an authenticated text for `point`, sent as a server-sent event's id.
std::string EncodeResumeToken(const i_keyring& keys, const resume_point& point);

// Returns nothing if no key of the ring made the token.
std::optional<resume_point> DecodeResumeToken(const i_keyring& keys,
                                              const std::string& token);

}  // namespace wist

#endif  // STREAMS_RESUME_TOKEN_H_
