#ifndef PEERS_MIRROR_SERVER_H_
#define PEERS_MIRROR_SERVER_H_

#include <list>
#include <memory>
#include <string>

#include "follower/store_mirror.h"
#include "framework/net/http_codec.h"
#include "framework/net/i_channel.h"
#include "framework/net/i_scheduler.h"

namespace wist {

// Serves reads of the store by other instances from this instance's mirror.
// Not thread-safe.
class mirror_server {
 public:
  mirror_server(store_mirror& mirror, i_scheduler& scheduler);

  void Accept(std::shared_ptr<i_channel> channel);

  // Handles the loss of the mirror's source: all callers receive
  // store_error::unavailable until the mirror is confirmed again, so that they
  // switch to another source at once.
  void OnSourceLost();

 private:
  // A watch that waits for the next change. The response is sent after the
  // change or when the timer expires.
  struct pending_watch {
    std::weak_ptr<i_channel> channel;
    std::string prefix;
    std::int64_t since_revision = 0;
    std::unique_ptr<i_timer> timer;
  };

  void HandleRequest(const std::shared_ptr<i_channel>& channel,
                     const http_request_message& request);
  void HoldWatch(const std::shared_ptr<i_channel>& channel,
                 const std::string& prefix,
                 std::int64_t since_revision,
                 milliseconds wait);
  void OnConfirmed();
  static void SendPage(const std::weak_ptr<i_channel>& channel,
                       const std::string& page);

  store_mirror& mirror_;
  i_scheduler& scheduler_;
  std::list<pending_watch> pending_watches_;
  bool source_lost_ = false;
};

}  // namespace wist

#endif  // PEERS_MIRROR_SERVER_H_
