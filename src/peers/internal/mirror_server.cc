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
constexpr std::int64_t kMaxWaitMs = 5000;

std::int64_t ParseNumber(const std::string& text) {
  std::int64_t number = 0;
  // A malformed number counts as 0, which means the oldest revision or no wait.
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

mirror_server::mirror_server(store_mirror& mirror,
                             i_scheduler& scheduler,
                             std::size_t max_connections,
                             write_observer on_write)
    : mirror_(mirror),
      scheduler_(scheduler),
      on_write_(std::move(on_write)),
      server_(max_connections,
              [this](const std::shared_ptr<i_channel>& channel,
                     const http_request_message& request) {
                HandleRequest(channel, request);
              }) {
  mirror_.SetUpdateHandler([this] { OnConfirmed(); });
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
  const bool is_range = uri.getPath() == "/range";
  if (!is_range && uri.getPath() != "/watch")
    return channel->Abort();
  if (source_lost_)
    return SendPage(channel,
                    EncodePage(watch_result(store_error::unavailable)));
  pending_read read{channel, parameters["prefix"]};
  read.received_at = scheduler_.Now();
  if (!is_range) {
    // Instances of earlier versions state no era.
    read.since_revision = {parameters.contains("era")
                               ? ParseNumber(parameters["era"])
                               : mirror_.revision().era,
                           ParseNumber(parameters["since"])};
  }
  if (const auto page = Page(read))
    return SendPage(channel, *page);
  // An instance sends one read at a time on a connection.
  const bool is_waiting =
      std::any_of(pending_reads_.begin(), pending_reads_.end(),
                  [&](const pending_read& entry) {
                    return entry.channel.lock() == channel;
                  });
  if (is_waiting)
    return channel->Abort();
  Hold(std::move(read),
       milliseconds(std::clamp<std::int64_t>(ParseNumber(parameters["wait_ms"]),
                                             0, kMaxWaitMs)));
}

std::optional<std::string> mirror_server::Page(const pending_read& read) const {
  const timestamp now = scheduler_.Now();
  if (!read.since_revision) {
    if (!mirror_.HasContent())
      return std::nullopt;
    return EncodePage(mirror_.ReadRange(read.prefix, now));
  }
  if (auto page = mirror_.Watch(read.prefix, *read.since_revision, now))
    return WatchPage(read, std::move(*page));
  return std::nullopt;
}

std::string mirror_server::WatchPage(const pending_read& read,
                                     watch_result result) const {
  if (auto* page = std::get_if<watch_page>(&result))
    page->held = scheduler_.Now() - read.received_at;
  return EncodePage(result);
}

std::string mirror_server::TimedOutPage(const pending_read& read) const {
  if (!read.since_revision)
    return EncodePage(range_result(store_error::unavailable));
  return WatchPage(
      read, mirror_.EmptyWatchResult(*read.since_revision, scheduler_.Now()));
}

void mirror_server::Hold(pending_read read, milliseconds wait) {
  const auto entry =
      pending_reads_.insert(pending_reads_.end(), std::move(read));
  entry->timer = scheduler_.RunAt(scheduler_.Now() + wait, [this, entry] {
    SendPage(entry->channel, TimedOutPage(*entry));
    pending_reads_.erase(entry);
  });
}

void mirror_server::OnConfirmed() {
  source_lost_ = false;
  for (auto entry = pending_reads_.begin(); entry != pending_reads_.end();) {
    const auto page = Page(*entry);
    if (!page) {
      ++entry;
      continue;
    }
    SendPage(entry->channel, *page);
    entry = pending_reads_.erase(entry);
  }
}

void mirror_server::OnSourceLost() {
  source_lost_ = true;
  for (const pending_read& entry : pending_reads_) {
    SendPage(entry.channel, EncodePage(watch_result(store_error::unavailable)));
  }
  pending_reads_.clear();
}

void mirror_server::SendPage(const std::weak_ptr<i_channel>& channel,
                             const std::string& page) const {
  const auto open_channel = channel.lock();
  if (!open_channel)
    return;
  open_channel->Write(EncodeHttpResponse(200, {}, page));
  on_write_(open_channel);
}

}  // namespace wist
