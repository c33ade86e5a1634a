#include "peers/mirror_server.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <charconv>
#include <map>

#include "peers/internal/page_codec.h"

namespace wist {
namespace {

// Longest wait that a caller may request.
constexpr std::int64_t kMaxWatchWaitMs = 5000;

std::int64_t ParseNumber(const std::string& text) {
  std::int64_t number = 0;
  // A malformed number counts as 0, which means the oldest revision or no wait.
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

mirror_server::mirror_server(store_mirror& mirror, i_scheduler& scheduler)
    : mirror_(mirror), scheduler_(scheduler) {
  mirror_.SetUpdateHandler([this] { OnConfirmed(); });
}

void mirror_server::Accept(std::shared_ptr<i_channel> channel) {
  const std::shared_ptr<i_http_request_reader> reader =
      MakeHttpRequestReader({});
  // The callbacks own the channel until the caller closes it.
  channel->SetCallbacks({[this, channel, reader](std::string_view bytes) {
                           reader->Feed(bytes);
                           while (const auto request = reader->Next())
                             HandleRequest(channel, *request);
                           if (reader->read_error())
                             channel->Abort();
                         },
                         [](channel_end) {}});
}

void mirror_server::HandleRequest(const std::shared_ptr<i_channel>& channel,
                                  const http_request_message& request) {
  Poco::URI uri;
  std::map<std::string, std::string> parameters;
  try {
    uri = request.target;
    for (const auto& [name, value] : uri.getQueryParameters())
      parameters[name] = value;
  } catch (const Poco::Exception&) {
    // Not a request of another instance.
    return channel->Abort();
  }
  const std::string& prefix = parameters["prefix"];
  const timestamp now = scheduler_.Now();
  const bool is_range = uri.getPath() == "/range";
  if (!is_range && uri.getPath() != "/watch")
    return channel->Abort();
  if (source_lost_)
    return SendPage(channel,
                    EncodePage(watch_result(store_error::unavailable)));
  if (is_range)
    return SendPage(channel, EncodePage(mirror_.ReadRange(prefix, now)));
  const std::int64_t since = ParseNumber(parameters["since"]);
  if (const auto page = mirror_.Watch(prefix, since, now))
    return SendPage(channel, EncodePage(*page));
  HoldWatch(channel, prefix, since,
            milliseconds(std::clamp<std::int64_t>(
                ParseNumber(parameters["wait_ms"]), 0, kMaxWatchWaitMs)));
}

void mirror_server::HoldWatch(const std::shared_ptr<i_channel>& channel,
                              const std::string& prefix,
                              std::int64_t since_revision,
                              milliseconds wait) {
  const auto entry = pending_watches_.insert(
      pending_watches_.end(),
      pending_watch{channel, prefix, since_revision, nullptr});
  entry->timer = scheduler_.RunAt(scheduler_.Now() + wait, [this, entry] {
    SendPage(entry->channel, EncodePage(mirror_.EmptyWatchResult(
                                 entry->since_revision, scheduler_.Now())));
    pending_watches_.erase(entry);
  });
}

void mirror_server::OnConfirmed() {
  source_lost_ = false;
  for (auto entry = pending_watches_.begin();
       entry != pending_watches_.end();) {
    const auto page =
        mirror_.Watch(entry->prefix, entry->since_revision, scheduler_.Now());
    if (!page) {
      ++entry;
      continue;
    }
    SendPage(entry->channel, EncodePage(*page));
    entry = pending_watches_.erase(entry);
  }
}

void mirror_server::OnSourceLost() {
  source_lost_ = true;
  for (const pending_watch& entry : pending_watches_) {
    SendPage(entry.channel, EncodePage(watch_result(store_error::unavailable)));
  }
  pending_watches_.clear();
}

void mirror_server::SendPage(const std::weak_ptr<i_channel>& channel,
                             const std::string& page) {
  if (const auto open_channel = channel.lock())
    open_channel->Write(EncodeHttpResponse(200, {}, page));
}

}  // namespace wist
