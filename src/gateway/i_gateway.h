#ifndef GATEWAY_I_GATEWAY_H_
#define GATEWAY_I_GATEWAY_H_

namespace wist {

// Proxies requests from callers to the registered targets.
class i_gateway {
 public:
  virtual ~i_gateway() = default;

  // Blocks until a graceful stop has finished.
  virtual void Run() = 0;
};

}  // namespace wist

#endif  // GATEWAY_I_GATEWAY_H_
