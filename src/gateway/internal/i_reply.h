#ifndef GATEWAY_INTERNAL_I_REPLY_H_
#define GATEWAY_INTERNAL_I_REPLY_H_

#include <string>

namespace wist {

// The caller's side of one request. After the last of its calls the exchange
// gets no further callback.
class i_reply {
 public:
  virtual ~i_reply() = default;

  // Sends a whole answer.
  virtual void Send(std::string bytes) = 0;

  // Sends an answer in parts: its head, its body in order, then the end.
  virtual void Begin(std::string head) = 0;
  virtual void Append(std::string bytes) = 0;
  virtual void Finish(std::string bytes) = 0;

  // Breaks the answer off, so that it can't be taken for whole.
  virtual void Abort() = 0;

  // Closes the channel after this answer, so that the caller opens another one.
  virtual void CloseAfterAnswer() = 0;

  // Whether the channel can carry another request after this answer.
  virtual bool KeepsChannel() const = 0;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_I_REPLY_H_
