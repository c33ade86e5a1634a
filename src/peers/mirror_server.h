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

// Answers other instances' reads of the store from this one's copy. Not
// thread-safe.
class mirror_server {
 public:
  mirror_server(store_mirror& mirror, i_scheduler& scheduler);

  void Accept(std::shared_ptr<i_channel> channel);

  // The copy's source is lost: all callers are refused until the copy is
  // confirmed again, so that they ask elsewhere at once.
  void OnSourceLost();

 private:
  // A watch that waits for a change.
  struct waiting_watch {
    std::weak_ptr<i_channel> channel;
    std::string prefix;
    std::int64_t since_revision = 0;
    std::unique_ptr<i_timer> timer;
  };

  void Serve(const std::shared_ptr<i_channel>& channel,
             const http_request_message& request);
  void Wait(const std::shared_ptr<i_channel>& channel,
            const std::string& prefix,
            std::int64_t since_revision,
            milliseconds wait);
  void OnConfirmed();
  static void Answer(const std::weak_ptr<i_channel>& channel,
                     const std::string& page);

  store_mirror& mirror_;
  i_scheduler& scheduler_;
  std::list<waiting_watch> waiting_;
  bool source_lost_ = false;
};

}  // namespace wist

#endif  // PEERS_MIRROR_SERVER_H_
