#ifndef FRAMEWORK_NET_WHOLE_CALL_H_
#define FRAMEWORK_NET_WHOLE_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "framework/net/i_http_caller.h"
#include "framework/net/i_scheduler.h"

namespace wist {

struct whole_answer {
  int status = 0;
  std::string body;
};

struct whole_call_limits {
  milliseconds connect{300};
  // Time to the end of the answer.
  milliseconds answer{1000};
  // Kept channels idle for longer are not used.
  milliseconds max_idle{1000};
};

// A call whose answer is wanted in one piece, within a time limit.
class whole_call : public std::enable_shared_from_this<whole_call> {
 public:
  // Gets nothing if no whole answer came in time.
  using done_handler = std::function<void(std::optional<whole_answer>)>;

  // `request` holds the encoded request. `on_done` does not run within this.
  static std::shared_ptr<whole_call> Start(i_http_caller& caller,
                                           i_scheduler& scheduler,
                                           const http_address& address,
                                           std::string request,
                                           const whole_call_limits& limits,
                                           done_handler on_done);

  // Ends the call; `on_done` is not called.
  void Cancel();

 private:
  void Done(std::optional<whole_answer> answer);

  done_handler on_done_;
  std::shared_ptr<i_http_call> call_;
  std::unique_ptr<i_timer> timer_;
  whole_answer answer_;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_WHOLE_CALL_H_
