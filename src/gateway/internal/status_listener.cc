#include "gateway/internal/status_listener.h"

#include "framework/http/http_codec.h"

namespace wist {
namespace {

// Size of the kernel's receive buffer of each connection.
constexpr int kReceiveBufferBytes = 16'384;

}  // namespace

status_listener::status_listener(
    i_event_loop& loop,
    const http_address& ready_address,
    const std::optional<http_address>& metrics_address,
    std::size_t max_connections,
    std::function<bool()> is_ready,
    std::function<std::string()> metrics_text) {
  const response_builder readiness = [is_ready = std::move(is_ready)] {
    const bool ready = is_ready();
    return EncodeHttpResponse(ready ? 200 : 503,
                              {{"Content-Type", "application/json"}},
                              ready ? "{\"ready\":true}" : "{\"ready\":false}");
  };
  Listen(loop, ready_address, max_connections, readiness);
  if (!metrics_address)
    return;
  Listen(loop, *metrics_address, max_connections,
         [text = std::move(metrics_text)] {
           return EncodeHttpResponse(200, {{"Content-Type", "text/plain"}},
                                     text());
         });
}

void status_listener::Listen(i_event_loop& loop,
                             const http_address& address,
                             std::size_t max_connections,
                             response_builder build_response) {
  short_request_server& server = servers_.emplace_back(
      max_connections,
      [build_response = std::move(build_response)](
          const std::shared_ptr<i_channel>& channel,
          const http_request_message&) { channel->Write(build_response()); });
  loop.Listen(address,
              [&server](const std::shared_ptr<i_channel>& channel) {
                server.Accept(channel);
              },
              {kReceiveBufferBytes});
}

}  // namespace wist
