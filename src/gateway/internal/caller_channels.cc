#include "gateway/internal/caller_channels.h"

#include <map>

namespace wist {

void caller_channels::ForgetEnded() {
  std::erase_if(channels_,
                [](const auto& channel) { return channel.expired(); });
}

std::size_t caller_channels::UnsentBytes() const {
  std::size_t bytes = 0;
  for (const auto& weak_channel : channels_) {
    if (const auto channel = weak_channel.lock())
      bytes += channel->UnsentBytes();
  }
  return bytes;
}

bool caller_channels::CloseOne(
    const std::set<std::shared_ptr<caller_connection>>& connections,
    timestamp now) {
  std::map<const i_channel*, std::shared_ptr<caller_connection>> open;
  for (const auto& connection : connections)
    open.emplace(connection->channel(), connection);
  std::vector<std::shared_ptr<i_channel>> channels;
  std::vector<connection_progress> progress;
  for (const auto& weak_channel : channels_) {
    const auto channel = weak_channel.lock();
    if (!channel)
      continue;
    const auto owner = open.find(channel.get());
    channels.push_back(channel);
    progress.push_back(owner == open.end()
                           ? connection_progress{connection_phase::closing, {}}
                           : owner->second->Progress());
  }
  const auto chosen = ChooseConnectionToClose(progress, now);
  if (!chosen)
    return false;
  const auto channel = channels[*chosen];
  const auto owner = open.find(channel.get());
  if (owner == open.end())
    channel->Abort();
  else
    owner->second->MakeRoom();
  std::erase_if(channels_, [&](const auto& weak_channel) {
    return weak_channel.lock() == channel;
  });
  return true;
}

}  // namespace wist
