#ifndef FRAMEWORK_HTTP_I_HTTP_SERVER_H_
#define FRAMEWORK_HTTP_I_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "framework/http/http_types.h"
#include "framework/http/i_body_budget.h"

namespace wist {

// A received request, including its body.
struct http_server_request {
  std::string method;
  std::string path;   // Decoded, without the query.
  std::string query;  // Without the question mark.
  std::vector<http_header> headers;
  std::string body;
  bool body_too_large = false;
  bool body_incomplete = false;
  // The body was not read, since there was no memory for it.
  bool no_room = false;

  // Returns the first value of `name`, or an empty string.
  std::string Header(const std::string& name) const;

  // Returns the decoded value of query parameter `name`, or an empty string.
  std::string QueryValue(const std::string& name) const;
};

// Thrown when the client closed its connection or stopped reading.
class http_client_disconnected : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Sends the response to one request, either at once or as a stream of chunks.
class i_http_responder {
 public:
  virtual ~i_http_responder() = default;

  virtual void Send(const http_response& response,
                    const std::string& content_type) = 0;

  // Sends the headers of a response whose length is not known yet.
  virtual void BeginStream(int status,
                           const std::vector<http_header>& headers,
                           const std::string& content_type) = 0;

  // Sends one chunk immediately. Throws http_client_disconnected if the client
  // is gone.
  virtual void Write(std::string_view chunk) = 0;

  // Whether a response was started by Send or BeginStream.
  virtual bool HasStarted() const = 0;

  // Closes the connection without completing the response.
  virtual void Abort() = 0;
};

using http_handler =
    std::function<void(const http_server_request&, i_http_responder&)>;

struct http_server_settings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;  // 0 selects any free port.
  int max_threads = 64;
  int max_queued = 64;
  std::size_t max_body_bytes = 1 << 20;
  // Null if bodies are limited only one by one.
  std::shared_ptr<i_body_budget> body_budget;
  milliseconds receive_timeout{10'000};
  milliseconds send_timeout{10'000};
};

// Serves HTTP with a bounded thread pool until it is destroyed.
class i_http_server {
 public:
  virtual ~i_http_server() = default;

  virtual std::uint16_t port() const = 0;

  // Stops accepting new connections. Requests in progress are completed.
  virtual void StopAccepting() = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_HTTP_I_HTTP_SERVER_H_
