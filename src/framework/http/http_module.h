#ifndef FRAMEWORK_HTTP_HTTP_MODULE_H_
#define FRAMEWORK_HTTP_HTTP_MODULE_H_

#include <memory>

#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"
#include "framework/http/i_http_server.h"

namespace wist {

// `observer` is called for each invalid response, from the thread of the call.
std::shared_ptr<i_http_client> MakeHttpClient(
    std::shared_ptr<const i_clock> clock,
    invalid_response_observer observer = {});

// Returns a server that already accepts connections. Throws std::runtime_error
// if it cannot listen on the address, for example because the port is in use.
std::unique_ptr<i_http_server> MakeHttpServer(
    const http_server_settings& settings,
    http_handler handler);

}  // namespace wist

#endif  // FRAMEWORK_HTTP_HTTP_MODULE_H_
