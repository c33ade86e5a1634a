#ifndef GATEWAY_INTERNAL_I_RESPONSE_WRITER_H_
#define GATEWAY_INTERNAL_I_RESPONSE_WRITER_H_

#include <string>

namespace wist {

// Writes the response to one request to its caller. After the call that ends
// the response, the exchange gets no further callback.
class i_response_writer {
 public:
  virtual ~i_response_writer() = default;

  // Sends a complete response.
  virtual void Send(std::string bytes) = 0;

  // These send a response in parts: its head, its body in order, then its end.
  virtual void StartStream(std::string head) = 0;
  virtual void AppendToStream(std::string bytes) = 0;
  virtual void FinishStream(std::string bytes) = 0;

  // Aborts the response, so that the caller can't mistake it for a complete
  // one.
  virtual void Abort() = 0;

  // Closes the connection after this response, so that the caller has to open a
  // new one.
  virtual void CloseAfterResponse() = 0;

  // Whether the connection stays open for further requests.
  virtual bool KeepsConnection() const = 0;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_I_RESPONSE_WRITER_H_
