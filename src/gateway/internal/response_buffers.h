#ifndef GATEWAY_INTERNAL_RESPONSE_BUFFERS_H_
#define GATEWAY_INTERNAL_RESPONSE_BUFFERS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "framework/net/i_channel.h"
#include "limits/response_memory.h"

namespace wist {

class response_buffer;

// All response bytes that an instance holds: of responses that arrive from
// targets, and of those that wait for their callers. Tells the holders of the
// responses that the memory limit requires to give up.
class response_buffers {
 public:
  // Called with the bytes of a response that is given up and of all of them.
  using give_up_observer = std::function<void(const std::string& source,
                                              std::size_t bytes,
                                              std::size_t total_bytes)>;

  explicit response_buffers(std::size_t limit_bytes) : memory_(limit_bytes) {}

  response_buffers(const response_buffers&) = delete;
  response_buffers& operator=(const response_buffers&) = delete;

  void SetLimit(std::size_t limit_bytes) { memory_.SetLimit(limit_bytes); }
  void SetObserver(give_up_observer observer) {
    observer_ = std::move(observer);
  }

  // `on_give_up` has to end the response.
  std::unique_ptr<response_buffer> AddGrowing(std::string source,
                                              std::function<void()> on_give_up);

  // Counts the channel's unsent bytes until all of them are sent. Without
  // `on_give_up`, or if it has ended by itself, the channel is aborted.
  void AddUnsent(const std::shared_ptr<i_channel>& channel,
                 std::function<void()> on_give_up);

  std::size_t total_bytes() const { return memory_.total_bytes(); }

  // Stops counting the channels whose bytes have been sent.
  void RemoveSentChannels() { UpdateUnsentBytes(); }

 private:
  friend class response_buffer;

  struct holder {
    std::string source;
    std::function<void()> on_give_up;
    // Set for unsent bytes.
    std::weak_ptr<i_channel> channel;
  };

  // Returns whether the response is still held.
  bool SetBytes(response_number number, std::size_t bytes);
  void Remove(response_number number);
  void UpdateUnsentBytes();
  void EnforceLimit();

  response_memory memory_;
  give_up_observer observer_;
  std::map<response_number, holder> holders_;
  std::map<const i_channel*, response_number> unsent_channels_;
};

// The memory of one response that is arriving; released with the object.
class response_buffer {
 public:
  response_buffer(response_buffers& buffers, response_number number)
      : buffers_(buffers), number_(number) {}
  ~response_buffer() { buffers_.Remove(number_); }

  response_buffer(const response_buffer&) = delete;
  response_buffer& operator=(const response_buffer&) = delete;

  // Returns false if this response was given up; its `on_give_up` was called,
  // and this object may have been destroyed.
  bool SetBytes(std::size_t bytes) { return buffers_.SetBytes(number_, bytes); }

 private:
  response_buffers& buffers_;
  const response_number number_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_RESPONSE_BUFFERS_H_
