#ifndef PEERS_MIRROR_SERVER_H_
#define PEERS_MIRROR_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "follower/store_mirror.h"
#include "framework/http/http_codec.h"
#include "framework/net/i_channel.h"
#include "framework/net/i_scheduler.h"
#include "framework/net/short_request_server.h"

namespace wist {

// Serves reads of the store by other instances from this instance's mirror.
// Not thread-safe.
class mirror_server {
 public:
  using write_observer = std::function<void(const std::shared_ptr<i_channel>&)>;

  // `on_write` is called after each response, whose bytes may be unsent.
  mirror_server(
      store_mirror& mirror,
      i_scheduler& scheduler,
      std::size_t max_connections,
      write_observer on_write = [](const std::shared_ptr<i_channel>&) {});

  void Accept(const std::shared_ptr<i_channel>& channel) {
    server_.Accept(channel);
  }

  // Handles the loss of the mirror's source: all callers receive
  // store_error::unavailable until the mirror is confirmed again, so that they
  // switch to another source at once.
  void OnSourceLost();

 private:
  // A watch that waits for the next change, or a range read that waits for the
  // first content. The response is sent then or when the timer expires.
  struct pending_read {
    std::weak_ptr<i_channel> channel;
    std::string prefix;
    // Not set for a range read.
    std::optional<store_revision> since_revision;
    timestamp received_at;
    std::unique_ptr<i_timer> timer;
  };

  void HandleRequest(const std::shared_ptr<i_channel>& channel,
                     const http_request_message& request);
  // Returns the response to a read, or nothing if it has to wait.
  std::optional<std::string> Page(const pending_read& read) const;
  // Returns the response to a read that has waited long enough.
  std::string TimedOutPage(const pending_read& read) const;
  std::string WatchPage(const pending_read& read, watch_result result) const;
  void Hold(pending_read read, milliseconds wait);
  void OnConfirmed();
  void SendPage(const std::weak_ptr<i_channel>& channel,
                const std::string& page) const;

  store_mirror& mirror_;
  i_scheduler& scheduler_;
  const write_observer on_write_;
  short_request_server server_;
  std::list<pending_read> pending_reads_;
  bool source_lost_ = false;
};

}  // namespace wist

#endif  // PEERS_MIRROR_SERVER_H_
