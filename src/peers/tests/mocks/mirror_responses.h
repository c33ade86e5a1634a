#ifndef PEERS_TESTS_MOCKS_MIRROR_RESPONSES_H_
#define PEERS_TESTS_MOCKS_MIRROR_RESPONSES_H_

#include <string>

#include "framework/http/http_codec.h"
#include "peers/internal/page_codec.h"

namespace wist {

inline std::string OkResponse(const std::string& body) {
  return EncodeHttpResponse(200, {}, body);
}

// Response of an instance whose mirror has lost its source.
inline std::string UnavailableResponse() {
  return OkResponse(EncodePage(watch_result(store_error::unavailable)));
}

}  // namespace wist

#endif  // PEERS_TESTS_MOCKS_MIRROR_RESPONSES_H_
