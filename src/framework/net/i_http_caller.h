#ifndef FRAMEWORK_NET_I_HTTP_CALLER_H_
#define FRAMEWORK_NET_I_HTTP_CALLER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "framework/net/http_codec.h"
#include "framework/net/i_channel.h"
#include "framework/net/i_scheduler.h"

namespace wist {

enum class call_end {
  complete,        // The answer is whole.
  connect_failed,  // No channel; no byte left this instance.
  broken,          // The channel ended before the answer was whole.
  malformed,       // Bytes came that are no answer.
};

struct call_outcome {
  call_end end = call_end::broken;
  // Whether any byte of the request may have reached the other side.
  bool may_have_left = false;
};

// None is called after Cancel.
struct call_callbacks {
  // Says whether the head belongs to this call. An answer that does not is
  // dropped and the next one awaited. May be empty.
  std::function<bool(const http_answer_head&)> accepts;
  std::function<void(const http_answer_head&)> on_head;
  std::function<void(std::string body)> on_body;
  std::function<void(call_outcome)> on_done;
};

struct call_options {
  timestamp connect_deadline;
  // Kept channels idle for longer are not used.
  milliseconds max_idle{1000};
};

// A call under way.
class i_http_call {
 public:
  virtual ~i_http_call() = default;

  // Ends the call; its channel is closed, so the other side sees it at once.
  virtual void Cancel() = 0;

  // Whether any byte of the request may have reached the other side.
  virtual bool MayHaveLeft() const = 0;
};

// Makes calls over kept channels, one call at a time on each.
class i_http_caller {
 public:
  virtual ~i_http_caller() = default;

  // `request` holds the encoded request. No callback runs within this call.
  virtual std::shared_ptr<i_http_call> Call(const http_address& address,
                                            std::string request,
                                            const call_options& options,
                                            call_callbacks callbacks) = 0;

  // Closes the kept channels to `address`.
  virtual void Forget(const http_address& address) = 0;
};

std::unique_ptr<i_http_caller> MakeHttpCaller(i_connector& connector,
                                              i_scheduler& scheduler);

}  // namespace wist

#endif  // FRAMEWORK_NET_I_HTTP_CALLER_H_
