#ifndef FRAMEWORK_NET_I_EVENT_LOOP_H_
#define FRAMEWORK_NET_I_EVENT_LOOP_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "framework/base/i_clock.h"
#include "framework/net/i_channel.h"
#include "framework/net/i_scheduler.h"

namespace wist {

using accept_handler = std::function<void(std::shared_ptr<i_channel>)>;
using datagram_handler =
    std::function<void(std::string_view bytes, const http_address& from)>;

struct listen_options {
  // Size of the kernel's receive buffer of each accepted channel; 0 leaves the
  // kernel's default, which grows to several megabytes.
  int receive_buffer_bytes = 0;
};

// Receives what the event belonged to (the address of a peer, or its kind) and
// the cause, when an exception has left the handler of an event.
using handler_error_reporter =
    std::function<void(const std::string& subject, const std::string& cause)>;

// Single-threaded event loop for sockets, signals and timers.
class i_event_loop : public i_scheduler, public i_connector {
 public:
  // Calls `handler` for each accepted channel, which starts reading once
  // SetCallbacks is called. Throws std::runtime_error if the loop cannot listen
  // on the address, for example because it is in use.
  virtual void Listen(const http_address& address,
                      accept_handler handler,
                      const listen_options& options) = 0;
  void Listen(const http_address& address, accept_handler handler) {
    Listen(address, std::move(handler), {});
  }
  virtual std::unique_ptr<i_datagram_port> OpenDatagramPort(
      const http_address& address,
      datagram_handler handler) = 0;
  // Calls `handler` on the loop's thread each time `signal` is received.
  // Unblocks the signal in the calling thread: one that was received since it
  // was blocked is handled as well.
  virtual void AddSignalHandler(int signal, std::function<void()> handler) = 0;

  // From now on, an exception that leaves a handler is reported and ends only
  // the channel that the event belongs to. Without a reporter, Run throws it.
  virtual void SetErrorReporter(handler_error_reporter reporter) = 0;

  // Runs until Stop is called.
  virtual void Run() = 0;
  virtual void Stop() = 0;
};

std::unique_ptr<i_event_loop> MakeEventLoop(
    std::shared_ptr<const i_clock> clock);

}  // namespace wist

#endif  // FRAMEWORK_NET_I_EVENT_LOOP_H_
