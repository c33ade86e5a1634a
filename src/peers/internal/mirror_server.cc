#include "peers/mirror_server.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <charconv>
#include <map>

#include "peers/internal/page_codec.h"

namespace wist {
namespace {

// Longest wait that a caller may ask for.
constexpr std::int64_t kMaxWaitMs = 5000;

std::int64_t Number(const std::string& text) {
  std::int64_t number = 0;
  // A number that can't be read asks for the oldest revision, or for no wait.
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

mirror_server::mirror_server(store_mirror& mirror, i_scheduler& scheduler)
    : mirror_(mirror), scheduler_(scheduler) {
  mirror_.Subscribe([this] { OnConfirmed(); });
}

void mirror_server::Accept(std::shared_ptr<i_channel> channel) {
  const std::shared_ptr<i_http_request_reader> reader =
      MakeHttpRequestReader({});
  // The callbacks keep the channel until its other side closes it.
  channel->SetCallbacks({[this, channel, reader](std::string_view bytes) {
                           reader->Feed(bytes);
                           while (const auto request = reader->Next())
                             Serve(channel, *request);
                           if (reader->fault())
                             channel->Abort();
                         },
                         [](channel_end) {}});
}

void mirror_server::Serve(const std::shared_ptr<i_channel>& channel,
                          const http_request_message& request) {
  Poco::URI uri;
  std::map<std::string, std::string> parameters;
  try {
    uri = request.target;
    for (const auto& [name, value] : uri.getQueryParameters())
      parameters[name] = value;
  } catch (const Poco::Exception&) {
    // Not a question of another instance.
    return channel->Abort();
  }
  const std::string& prefix = parameters["prefix"];
  const timestamp now = scheduler_.Now();
  const bool is_range = uri.getPath() == "/range";
  if (!is_range && uri.getPath() != "/watch")
    return channel->Abort();
  if (source_lost_)
    return Answer(channel, EncodePage(watch_result(store_fault::unavailable)));
  if (is_range)
    return Answer(channel, EncodePage(mirror_.ReadRange(prefix, now)));
  const std::int64_t since = Number(parameters["since"]);
  if (const auto page = mirror_.Watch(prefix, since, now))
    return Answer(channel, EncodePage(*page));
  Wait(channel, prefix, since,
       milliseconds(std::clamp<std::int64_t>(Number(parameters["wait_ms"]), 0,
                                             kMaxWaitMs)));
}

void mirror_server::Wait(const std::shared_ptr<i_channel>& channel,
                         const std::string& prefix,
                         std::int64_t since_revision,
                         milliseconds wait) {
  const auto entry = waiting_.insert(
      waiting_.end(), waiting_watch{channel, prefix, since_revision, nullptr});
  entry->timer = scheduler_.RunAt(scheduler_.Now() + wait, [this, entry] {
    Answer(entry->channel, EncodePage(mirror_.Unchanged(entry->since_revision,
                                                        scheduler_.Now())));
    waiting_.erase(entry);
  });
}

void mirror_server::OnConfirmed() {
  source_lost_ = false;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const auto page =
        mirror_.Watch(entry->prefix, entry->since_revision, scheduler_.Now());
    if (!page) {
      ++entry;
      continue;
    }
    Answer(entry->channel, EncodePage(*page));
    entry = waiting_.erase(entry);
  }
}

void mirror_server::OnSourceLost() {
  source_lost_ = true;
  for (const waiting_watch& entry : waiting_) {
    Answer(entry.channel, EncodePage(watch_result(store_fault::unavailable)));
  }
  waiting_.clear();
}

void mirror_server::Answer(const std::weak_ptr<i_channel>& channel,
                           const std::string& page) {
  if (const auto open = channel.lock())
    open->Write(EncodeHttpAnswer(200, {}, page));
}

}  // namespace wist
