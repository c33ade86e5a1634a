#ifndef FRAMEWORK_NET_BUFFERED_CALL_H_
#define FRAMEWORK_NET_BUFFERED_CALL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "framework/http/http_codec.h"
#include "framework/net/i_http_caller.h"
#include "framework/net/i_scheduler.h"

namespace wist {

struct buffered_response {
  http_response_head head;
  std::string body;
};

struct buffered_call_limits {
  milliseconds connect{300};
  // Limit from the start of the call to the end of the response.
  milliseconds response{1000};
  // Channels that have been idle for this long are not reused.
  milliseconds max_idle{1000};
  // A call whose response body is larger is cancelled. Each use states its own
  // limit.
  std::size_t max_body_bytes = 0;
  call_label label;
};

// An HTTP call that collects the whole response and has a time limit.
class buffered_call : public std::enable_shared_from_this<buffered_call> {
 public:
  // Called with nullopt if no complete response within the limits arrived, and
  // again with nullopt if it has thrown std::exception on a response.
  using done_handler = std::function<void(std::optional<buffered_response>)>;

  // `request` is the encoded request. `on_done` does not run before this method
  // has returned.
  static std::shared_ptr<buffered_call> Start(
      i_http_caller& caller,
      i_scheduler& scheduler,
      const http_address& address,
      std::string request,
      const buffered_call_limits& limits,
      done_handler on_done);

  // Cancels the call without calling `on_done`.
  void Cancel();

  // Whether the call ended since no connection was opened.
  bool HasFailedToConnect() const { return has_failed_to_connect_; }

 private:
  void Finish(std::optional<buffered_response> response);

  done_handler on_done_;
  std::shared_ptr<i_http_call> call_;
  std::unique_ptr<i_timer> timer_;
  buffered_response response_;
  bool has_failed_to_connect_ = false;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_BUFFERED_CALL_H_
