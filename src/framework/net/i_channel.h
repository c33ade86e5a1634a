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

// How a channel ended other than by Close or Abort.
enum class channel_end {
  closed,          // Closed by the remote end after it sent all its bytes.
  reset,           // Connection lost; received bytes may be incomplete.
  connect_failed,  // Never opened, so no byte was sent.
};

// Callbacks run on the thread of the event loop. None is called after Close or
// Abort.
struct channel_callbacks {
  std::function<void(std::string_view)> on_data;
  std::function<void(channel_end)> on_end;
  // The connection that this side opens is established.
  std::function<void()> on_connected = {};
};

// A non-blocking stream connection. Not thread-safe.
class i_channel {
 public:
  virtual ~i_channel() = default;

  // Replaces the callbacks, for example when an idle channel is reused.
  virtual void SetCallbacks(channel_callbacks callbacks) = 0;

  // Queues bytes for sending. They are sent once the connection is open.
  virtual void Write(std::string bytes) = 0;

  // Number of queued bytes that the kernel has not accepted yet.
  virtual std::size_t UnsentBytes() const = 0;

  // Whether the kernel has accepted at least one byte.
  virtual bool HasSentBytes() const = 0;

  // Sends the queued bytes, then closes the connection in an orderly way.
  virtual void Close() = 0;

  // Closes the connection immediately and discards queued bytes. If this side
  // has opened it, it is reset, and bytes on their way are not delivered.
  virtual void Abort() = 0;
};

// Opens channels to remote addresses.
class i_connector {
 public:
  virtual ~i_connector() = default;

  // The channel ends with `connect_failed` if it is not open by `deadline`.
  virtual std::shared_ptr<i_channel> Connect(const http_address& address,
                                             timestamp deadline,
                                             channel_callbacks callbacks) = 0;
};

// Receives datagrams, and sends them without blocking. Delivery is not
// guaranteed.
class i_datagram_port {
 public:
  virtual ~i_datagram_port() = default;
  virtual void Send(const http_address& to, const std::string& bytes) = 0;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_I_CHANNEL_H_
