#ifndef FRAMEWORK_HTTP_I_HTTP_CLIENT_H_
#define FRAMEWORK_HTTP_I_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "framework/http/http_types.h"

namespace wist {

// An answer whose body is read line by line while it arrives. One user.
class i_http_stream {
 public:
  virtual ~i_http_stream() = default;

  virtual int status() const = 0;

  // Reads the next line without its line end into `line`. Returns false at the
  // end of the body; throws http_error if the link breaks or stalls longer
  // than the time set when it was opened.
  virtual bool ReadLine(std::string& line) = 0;
};

// Makes HTTP calls. Thread-safe.
class i_http_client {
 public:
  virtual ~i_http_client() = default;

  // Returns the whole answer; throws http_error if none arrived by `deadline`.
  virtual http_response Call(const http_address& address,
                             const http_request& request,
                             timestamp deadline) = 0;

  // Sends `request` and returns its answer once the header has arrived.
  // Throws http_error. A read that waits longer than `stall_limit` fails.
  virtual std::unique_ptr<i_http_stream> Open(const http_address& address,
                                              const http_request& request,
                                              timestamp header_deadline,
                                              milliseconds stall_limit) = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_HTTP_I_HTTP_CLIENT_H_
