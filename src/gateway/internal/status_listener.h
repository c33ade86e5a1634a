#ifndef GATEWAY_INTERNAL_STATUS_LISTENER_H_
#define GATEWAY_INTERNAL_STATUS_LISTENER_H_

#include <functional>
#include <list>
#include <optional>
#include <string>

#include "framework/net/i_event_loop.h"
#include "framework/net/short_request_server.h"

namespace wist {

// Serves the readiness check and the metrics over HTTP, each on its own
// address.
class status_listener {
 public:
  // Throws std::runtime_error if an address is already in use.
  status_listener(i_event_loop& loop,
                  const http_address& ready_address,
                  const std::optional<http_address>& metrics_address,
                  std::size_t max_connections,
                  std::function<bool()> is_ready,
                  std::function<std::string()> metrics_text);

 private:
  using response_builder = std::function<std::string()>;
  void Listen(i_event_loop& loop,
              const http_address& address,
              std::size_t max_connections,
              response_builder build_response);

  std::list<short_request_server> servers_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_STATUS_LISTENER_H_
