#ifndef FRAMEWORK_NET_SHORT_REQUEST_SERVER_H_
#define FRAMEWORK_NET_SHORT_REQUEST_SERVER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "framework/http/http_codec.h"
#include "framework/net/i_channel.h"

namespace wist {

// Reads requests without large heads or bodies on a bounded number of
// connections. A client that breaks a limit, or sends requests without reading
// the responses, is disconnected. At the limit, a new connection replaces the
// one that has been quiet for longest, of those without any request first.
// Not thread-safe.
class short_request_server {
 public:
  // Writes the response to the channel, or later to a copy of the pointer.
  using request_handler = std::function<void(const std::shared_ptr<i_channel>&,
                                             const http_request_message&)>;

  short_request_server(std::size_t max_connections, request_handler handler);

  short_request_server(const short_request_server&) = delete;
  short_request_server& operator=(const short_request_server&) = delete;

  void Accept(const std::shared_ptr<i_channel>& channel);

 private:
  struct connection {
    std::weak_ptr<i_channel> channel;
    std::unique_ptr<i_http_request_reader> reader;
    bool has_requested = false;
  };
  using position = std::list<connection>::iterator;

  void OnData(position current, std::string_view bytes);
  void MakeRoom();

  const std::size_t max_connections_;
  const request_handler handler_;
  // In the order of their last requests. Those that have ended stay until there
  // is no room.
  std::list<connection> connections_;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_SHORT_REQUEST_SERVER_H_
