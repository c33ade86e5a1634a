#ifndef FRAMEWORK_HTTP_HTTP_TYPES_H_
#define FRAMEWORK_HTTP_HTTP_TYPES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "framework/base/time_types.h"

namespace wist {

struct http_address {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const http_address&) const = default;
};

// Parses "host:port"; throws std::invalid_argument.
http_address ParseHttpAddress(const std::string& text);

struct http_header {
  std::string name;
  std::string value;

  auto operator<=>(const http_header&) const = default;
};

// Names a call in reports about its response. It is not sent.
struct call_label {
  std::string server;  // For example the id of a target.
  // Id of the caller's request that the call is made for; empty if there is
  // none.
  std::string request_id;

  auto operator<=>(const call_label&) const = default;
};

// Bytes that a server sent and that are no response in the protocol.
struct invalid_response {
  call_label call;
  std::string rule;  // Name of the rule that they break.

  auto operator<=>(const invalid_response&) const = default;
};

using invalid_response_observer = std::function<void(const invalid_response&)>;

struct http_request {
  std::string method = "GET";
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  std::string content_type = "application/json";
  call_label label;
};

struct http_response {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;

  // Returns the first value of `name`, or an empty string.
  std::string Header(const std::string& name) const;
};

// Thrown when a call fails without a complete response.
class http_error : public std::runtime_error {
 public:
  http_error(bool may_have_been_sent,
             bool timed_out,
             const std::string& message,
             bool is_invalid_response = false)
      : std::runtime_error(message),
        may_have_been_sent_(may_have_been_sent),
        timed_out_(timed_out),
        is_invalid_response_(is_invalid_response) {}

  // Whether the server may have received any byte of the request.
  bool may_have_been_sent() const { return may_have_been_sent_; }
  bool timed_out() const { return timed_out_; }

  // Whether the server sent bytes that are no response in the protocol.
  bool is_invalid_response() const { return is_invalid_response_; }

 private:
  bool may_have_been_sent_;
  bool timed_out_;
  bool is_invalid_response_;
};

}  // namespace wist

#endif  // FRAMEWORK_HTTP_HTTP_TYPES_H_
