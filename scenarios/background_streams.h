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

// What a caller has of a stream so far.
struct stream_state {
  int status = 0;
  std::string generation;
  std::vector<std::string> texts;
  std::string last_event_id;
  bool done = false;   // The last event came.
  bool ended = false;  // Nothing more will come.
  std::string error;
  std::string error_body;
};

// Callers that read streams while the scenario goes on.
class background_streams {
 public:
  background_streams(std::shared_ptr<i_http_client> client,
                     std::shared_ptr<const i_clock> clock);
  ~background_streams();
  background_streams(const background_streams&) = delete;
  background_streams& operator=(const background_streams&) = delete;

  // Starts a request and returns its number.
  std::size_t Open(const http_address& address, const http_request& request);

  // Goes on with stream `number` at another address.
  void Resume(std::size_t number,
              const http_address& address,
              const http_request& request);

  stream_state State(std::size_t number) const;

 private:
  struct entry {
    stream_state state;
    std::thread thread;
  };

  void Read(entry& stream, http_address address, http_request request);

  const std::shared_ptr<i_http_client> client_;
  const std::shared_ptr<const i_clock> clock_;
  mutable std::mutex mutex_;
  std::deque<entry> streams_;
};

}  // namespace wist::scenarios

#endif  // SCENARIOS_BACKGROUND_STREAMS_H_
