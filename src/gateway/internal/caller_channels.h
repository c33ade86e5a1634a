#ifndef GATEWAY_INTERNAL_CALLER_CHANNELS_H_
#define GATEWAY_INTERNAL_CALLER_CHANNELS_H_

#include <cstddef>
#include <memory>
#include <set>
#include <vector>

#include "gateway/internal/caller_connection.h"

namespace wist {

// All channels of callers, also those that their connections have closed: such
// a channel stays open until its bytes are sent and its caller has closed it.
class caller_channels {
 public:
  void Add(const std::shared_ptr<i_channel>& channel) {
    channels_.push_back(channel);
  }

  // Includes channels that have ended since the last call of ForgetEnded.
  std::size_t count() const { return channels_.size(); }

  void ForgetEnded();
  std::size_t UnsentBytes() const;

  // Closes a channel to make room for another one. Returns whether there was
  // one to close.
  bool CloseOne(const std::set<std::shared_ptr<caller_connection>>& connections,
                timestamp now);

 private:
  std::vector<std::weak_ptr<i_channel>> channels_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_CALLER_CHANNELS_H_
