#ifndef ENTRY_I_ENTRY_SERVICE_H_
#define ENTRY_I_ENTRY_SERVICE_H_

#include "framework/http/i_http_server.h"

namespace wist {

// Serves callers' HTTP requests. Thread-safe.
class i_entry_service {
 public:
  virtual ~i_entry_service() = default;

  virtual void Handle(const http_server_request& request,
                      i_http_responder& responder) = 0;

  // Rejects new requests from now on. Requests in flight continue.
  virtual void StopAcceptingRequests() = 0;

  // Returns the number of caller requests in flight.
  virtual int InFlight() const = 0;
};

}  // namespace wist

#endif  // ENTRY_I_ENTRY_SERVICE_H_
