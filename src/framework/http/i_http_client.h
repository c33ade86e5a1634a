#ifndef FRAMEWORK_HTTP_I_HTTP_CLIENT_H_
#define FRAMEWORK_HTTP_I_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "framework/http/http_types.h"

namespace wist {

// A response whose body is read line by line as it arrives. Not thread-safe.
class i_http_stream {
 public:
  virtual ~i_http_stream() = default;

  virtual int status() const = 0;

  // Reads the next line into `line`, without its line terminator. Returns false
  // at the end of the body. Throws http_error if the connection fails or no
  // data arrives within the stall limit that the stream was opened with.
  virtual bool ReadLine(std::string& line) = 0;
};

// Makes blocking HTTP calls. Thread-safe.
class i_http_client {
 public:
  virtual ~i_http_client() = default;

  // Returns the complete response. Throws http_error if the call fails. The
  // time left until `deadline` is the timeout of each socket operation.
  virtual http_response Call(const http_address& address,
                             const http_request& request,
                             timestamp deadline) = 0;

  // Sends `request` and returns the response as soon as its headers have
  // arrived. Throws http_error if the call fails. A later read that waits
  // longer than `stall_limit` for data fails as well.
  virtual std::unique_ptr<i_http_stream> Open(const http_address& address,
                                              const http_request& request,
                                              timestamp header_deadline,
                                              milliseconds stall_limit) = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_HTTP_I_HTTP_CLIENT_H_
