#ifndef FRAMEWORK_HTTP_I_HTTP_SERVER_H_
#define FRAMEWORK_HTTP_I_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/http/http_types.h"

namespace wist {

// A request as it came in, body included.
struct http_server_request {
  std::string method;
  std::string path;   // Without the query.
  std::string query;  // Without the question mark.
  std::vector<http_header> headers;
  std::string body;
  bool body_too_large = false;
  bool body_incomplete = false;

  // Returns the first value of `name`, or an empty string.
  std::string Header(const std::string& name) const;

  // Returns the decoded value of query parameter `name`, or an empty string.
  std::string QueryValue(const std::string& name) const;
};

// The other side closed its connection or stopped reading.
class http_peer_gone : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Answers one request, either whole or as a stream of pieces.
class i_http_responder {
 public:
  virtual ~i_http_responder() = default;

  virtual void Send(const http_response& response,
                    const std::string& content_type) = 0;

  // Sends the header of an answer whose length is not known.
  virtual void BeginStream(int status,
                           const std::vector<http_header>& headers,
                           const std::string& content_type) = 0;

  // Sends one piece at once; throws http_peer_gone.
  virtual void Write(std::string_view piece) = 0;

  // Whether an answer was begun.
  virtual bool Begun() const = 0;

  // Drops the connection without a proper end.
  virtual void Abort() = 0;
};

using http_handler =
    std::function<void(const http_server_request&, i_http_responder&)>;

struct http_server_settings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;  // 0 takes any free port.
  int max_threads = 64;
  int max_queued = 64;
  std::size_t max_body_bytes = 1 << 20;
  milliseconds receive_timeout{10'000};
  milliseconds send_timeout{10'000};
};

// Serves HTTP from a bounded pool of threads while it exists.
class i_http_server {
 public:
  virtual ~i_http_server() = default;

  virtual std::uint16_t port() const = 0;

  // Stops accepting connections; requests in flight go on.
  virtual void StopAccepting() = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_HTTP_I_HTTP_SERVER_H_
