#include "framework/net/short_request_server.h"

#include <algorithm>
#include <utility>

namespace wist {
namespace {

constexpr http_reader_limits kLimits{16'384, 4096};

// A client that sends a request while more than this is unsent to it does not
// read the responses.
constexpr std::size_t kMaxUnsentBytes = 65'536;

}  // namespace

short_request_server::short_request_server(std::size_t max_connections,
                                           request_handler handler)
    : max_connections_(max_connections), handler_(std::move(handler)) {}

void short_request_server::Accept(const std::shared_ptr<i_channel>& channel) {
  if (connections_.size() >= max_connections_)
    MakeRoom();
  const position added = connections_.insert(
      connections_.end(), {channel, MakeHttpRequestReader(kLimits)});
  // The callbacks own the channel until either side closes it. They are removed
  // when it is aborted, so the position stays valid for them.
  channel->SetCallbacks(
      {[this, channel, added](std::string_view bytes) { OnData(added, bytes); },
       [](channel_end) {}});
}

void short_request_server::OnData(position current, std::string_view bytes) {
  const auto channel = current->channel.lock();
  if (!channel)
    return;
  current->reader->Feed(bytes);
  while (const auto request = current->reader->Next()) {
    if (channel->UnsentBytes() > kMaxUnsentBytes)
      return channel->Abort();
    current->has_requested = true;
    connections_.splice(connections_.end(), connections_, current);
    handler_(channel, *request);
    if (!request->keep_alive)
      return channel->Close();
  }
  if (current->reader->read_error())
    channel->Abort();
}

void short_request_server::MakeRoom() {
  std::erase_if(connections_, [](const connection& current) {
    return current.channel.expired();
  });
  if (connections_.size() < max_connections_)
    return;
  auto victim = std::find_if(
      connections_.begin(), connections_.end(),
      [](const connection& current) { return !current.has_requested; });
  if (victim == connections_.end())
    victim = connections_.begin();
  if (victim == connections_.end())
    return;
  if (const auto channel = victim->channel.lock())
    channel->Abort();
  connections_.erase(victim);
}

}  // namespace wist
