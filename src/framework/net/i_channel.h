#ifndef FRAMEWORK_NET_I_CHANNEL_H_
#define FRAMEWORK_NET_I_CHANNEL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "framework/base/time_types.h"
#include "framework/http/http_types.h"

namespace wist {

// How a channel ended on the other side.
enum class channel_end {
  closed,          // In order, after all its bytes.
  reset,           // Broken: bytes may be missing.
  connect_failed,  // Never open: no byte left this instance.
};

// Called on the loop's thread; neither is called after Close or Abort.
struct channel_callbacks {
  std::function<void(std::string_view)> on_data;
  std::function<void(channel_end)> on_end;
};

// A stream connection that never blocks. Not thread-safe.
class i_channel {
 public:
  virtual ~i_channel() = default;

  // Replaces the callbacks, e.g. when a kept channel gets another user.
  virtual void SetCallbacks(channel_callbacks callbacks) = 0;

  // Queues bytes; before the connection is open they wait.
  virtual void Write(std::string bytes) = 0;

  // Bytes queued that the kernel has not taken yet.
  virtual std::size_t UnsentBytes() const = 0;

  // Whether any byte was handed to the kernel.
  virtual bool SentAny() const = 0;

  // Sends what is queued, then closes in order.
  virtual void Close() = 0;

  // Closes at once; the other side may see a reset.
  virtual void Abort() = 0;
};

// Opens channels to other processes.
class i_connector {
 public:
  virtual ~i_connector() = default;

  // The connection fails with `connect_failed` if it isn't open by `deadline`.
  virtual std::shared_ptr<i_channel> Connect(const http_address& address,
                                             timestamp deadline,
                                             channel_callbacks callbacks) = 0;
};

// Takes datagrams, and sends them without waiting; any may be lost.
class i_datagram_port {
 public:
  virtual ~i_datagram_port() = default;
  virtual void Send(const http_address& to, const std::string& bytes) = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_I_CHANNEL_H_
