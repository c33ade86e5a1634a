#ifndef GATEWAY_I_GATEWAY_H_
#define GATEWAY_I_GATEWAY_H_

#include "framework/http/http_types.h"

namespace wist {

// Proxies requests from callers to the registered targets.
class i_gateway {
 public:
  virtual ~i_gateway() = default;

  // Blocks until a graceful stop has finished.
  virtual void Run() = 0;

  // Logs and counts an invalid response to a call that is made outside the
  // gateway, for example of the store.
  virtual void OnInvalidResponse(const invalid_response& response) = 0;
};

}  // namespace wist

#endif  // GATEWAY_I_GATEWAY_H_
