#ifndef STAND_INS_COMMON_STAND_IN_SERVER_H_
#define STAND_INS_COMMON_STAND_IN_SERVER_H_

#include <nlohmann/json.hpp>
#include <string>

#include "framework/http/i_http_server.h"

namespace wist::stand_ins {

// Serves `handler` on `host` and `port` (0: any free port) until SIGTERM or
// SIGINT. Prints "listening <port>" to standard output once it accepts
// connections.
int ServeUntilSignal(const std::string& host,
                     std::uint16_t port,
                     http_handler handler);

// Parses a JSON object; returns an empty object for anything else.
nlohmann::json ParseObject(const std::string& text);

void SendJson(i_http_responder& responder,
              int status,
              const nlohmann::json& body);

// Returns the part of `path` after `prefix`, or an empty string if `path` does
// not start with `prefix`.
std::string PathAfterPrefix(const std::string& path, const std::string& prefix);

}  // namespace wist::stand_ins

#endif  // STAND_INS_COMMON_STAND_IN_SERVER_H_
