#ifndef FRAMEWORK_NET_I_HTTP_CALLER_H_
#define FRAMEWORK_NET_I_HTTP_CALLER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "framework/http/http_codec.h"
#include "framework/net/i_channel.h"
#include "framework/net/i_scheduler.h"

namespace wist {

enum class call_end {
  complete,        // The whole response was received.
  connect_failed,  // No connection, so no byte was sent.
  broken,          // The channel ended before the response was complete.
  malformed,       // The received bytes are not a valid response.
};

struct call_outcome {
  call_end end = call_end::broken;
  // Whether the server may have received any byte of the request.
  bool may_have_been_sent = false;
};

// No callback is called after Cancel.
struct call_callbacks {
  // Returns whether a response belongs to this call. Other responses are
  // discarded, and the call waits for the next one. `may_be_old` means that the
  // channel has carried another call or response before, of which this may be a
  // repetition. If the callback is empty, the first response is accepted.
  std::function<bool(const http_response_head&, bool may_be_old)> matches_call;
  std::function<void(const http_response_head&)> on_head;
  std::function<void(std::string body)> on_body;
  std::function<void(call_outcome)> on_done;
  // The new connection that the call opened is established. Not called on a
  // channel that was open before.
  std::function<void()> on_connected = {};
};

struct call_options {
  timestamp connect_deadline;
  // Channels that have been idle for this long are not reused.
  milliseconds max_idle{1000};
  // A response with a longer body is malformed.
  std::size_t max_body_bytes = http_reader_limits::kUnlimitedBody;
  call_label label;
};

// A call in progress.
class i_http_call {
 public:
  virtual ~i_http_call() = default;

  // Cancels the call and closes its channel, so that the server detects the
  // cancellation immediately.
  virtual void Cancel() = 0;

  // Whether the server may have received any byte of the request.
  virtual bool MayHaveBeenSent() const = 0;
};

// Makes non-blocking HTTP calls and reuses idle channels. Each channel carries
// one call at a time. Not thread-safe.
class i_http_caller {
 public:
  virtual ~i_http_caller() = default;

  // `request` is the encoded request. No callback runs before this method has
  // returned.
  virtual std::shared_ptr<i_http_call> Call(const http_address& address,
                                            std::string request,
                                            const call_options& options,
                                            call_callbacks callbacks) = 0;

  // Closes the idle channels to `address`.
  virtual void CloseIdleChannels(const http_address& address) = 0;
};

// `observer` is called for each invalid response, before the call ends. That
// includes a response to another call, which is discarded, and bytes after a
// response, which close the channel; the call goes on or has ended.
std::unique_ptr<i_http_caller> MakeHttpCaller(
    i_connector& connector,
    i_scheduler& scheduler,
    invalid_response_observer observer = {});

}  // namespace wist

#endif  // FRAMEWORK_NET_I_HTTP_CALLER_H_
