#ifndef SCENARIOS_BACKGROUND_STREAMS_H_
#define SCENARIOS_BACKGROUND_STREAMS_H_

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"

namespace wist::scenarios {

// What the client has received of a stream so far.
struct stream_state {
  int status = 0;
  std::string generation;
  std::vector<std::string> texts;
  std::string last_event_id;
  bool done = false;       // The final [DONE] event was received.
  bool ended = false;      // The connection has ended, with or without [DONE].
  std::string error;       // Transport error, or empty.
  std::string error_body;  // Body of an error response or of an error event.
};

// Reads streams in background threads, one per stream, while the script
// continues.
class background_streams {
 public:
  background_streams(std::shared_ptr<i_http_client> client,
                     std::shared_ptr<const i_clock> clock);
  ~background_streams();
  background_streams(const background_streams&) = delete;
  background_streams& operator=(const background_streams&) = delete;

  // Sends `request` in the background. Returns the number of the stream,
  // counted from 0.
  std::size_t Open(const http_address& address, const http_request& request);

  // Waits until the connection of stream `number` has ended, then sends
  // `request` and appends the tokens of its response to the state of the
  // stream.
  void Resume(std::size_t number,
              const http_address& address,
              const http_request& request);

  stream_state State(std::size_t number) const;

 private:
  struct reader {
    stream_state state;
    std::thread thread;
  };

  void ReadStream(reader& stream, http_address address, http_request request);

  const std::shared_ptr<i_http_client> client_;
  const std::shared_ptr<const i_clock> clock_;
  mutable std::mutex mutex_;
  std::deque<reader> streams_;
};

}  // namespace wist::scenarios

#endif  // SCENARIOS_BACKGROUND_STREAMS_H_
