#ifndef GATEWAY_I_GATEWAY_H_
#define GATEWAY_I_GATEWAY_H_

namespace wist {

// Serves callers from the targets that registered themselves.
class i_gateway {
 public:
  virtual ~i_gateway() = default;

  // Runs until a planned stop is over.
  virtual void Run() = 0;
};

}  // namespace wist

#endif  // GATEWAY_I_GATEWAY_H_
