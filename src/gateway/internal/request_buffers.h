#ifndef GATEWAY_INTERNAL_REQUEST_BUFFERS_H_
#define GATEWAY_INTERNAL_REQUEST_BUFFERS_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "framework/net/i_scheduler.h"
#include "gateway/internal/response_buffers.h"
#include "limits/request_memory.h"

namespace wist {

class request_buffer;

// All request bytes that an instance holds, in one budget with the responses:
// those of requests that are arriving, and of complete ones until they end.
class request_buffers {
 public:
  // Why a request was ended.
  enum class shed_reason {
    no_room,  // Refused, since it found no room.
    slow,     // Dropped, since it arrived slowly while others found no room.
  };
  using shed_observer = std::function<void(shed_reason)>;

  request_buffers(std::size_t limit_bytes,
                  const response_buffers& responses,
                  const i_scheduler& scheduler)
      : memory_(limit_bytes), responses_(responses), scheduler_(scheduler) {}

  request_buffers(const request_buffers&) = delete;
  request_buffers& operator=(const request_buffers&) = delete;

  void SetLimit(std::size_t limit_bytes) { memory_.SetLimit(limit_bytes); }
  void SetObserver(shed_observer observer) { observer_ = std::move(observer); }

  // `on_dropped` has to end the request, which then has no memory any more.
  std::unique_ptr<request_buffer> Add(std::function<void()> on_dropped);

  std::size_t total_bytes() const { return memory_.total_bytes(); }
  std::size_t limit_bytes() const { return memory_.limit_bytes(); }

 private:
  friend class request_buffer;

  bool Claim(request_number number, std::size_t bytes);
  void Remove(request_number number);

  request_memory memory_;
  const response_buffers& responses_;
  const i_scheduler& scheduler_;
  shed_observer observer_;
  std::map<request_number, std::function<void()>> holders_;
};

// The memory of one request; released with the object.
class request_buffer {
 public:
  request_buffer(request_buffers& buffers, request_number number)
      : buffers_(buffers), number_(number) {}
  ~request_buffer() { buffers_.Remove(number_); }

  request_buffer(const request_buffer&) = delete;
  request_buffer& operator=(const request_buffer&) = delete;

  // The request needs `bytes` in all. Returns whether it may have them; slow
  // requests may be dropped for it.
  bool Claim(std::size_t bytes) { return buffers_.Claim(number_, bytes); }

  // `bytes` have arrived in all.
  void OnReceived(std::size_t bytes);

  // From now on the request is not dropped for others.
  void OnComplete() { buffers_.memory_.OnComplete(number_); }

 private:
  request_buffers& buffers_;
  const request_number number_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_REQUEST_BUFFERS_H_
