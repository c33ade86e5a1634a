#include "peers/load_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wist {
namespace {

using nlohmann::json;

// An instance that missed this many words in a row counts as gone.
constexpr int kMissedWords = 3;

crash_notice DecodeCrash(const json& fields) {
  crash_notice notice;
  notice.digest = fields.at(0).get<request_digest>();
  const auto target = fields.at(1).get<std::string>();
  if (!target.empty())
    notice.target = target_id(target);
  notice.age =
      microseconds(std::max<std::int64_t>(0, fields.at(2).get<std::int64_t>()));
  return notice;
}

}  // namespace

std::string EncodeLoadWord(const load_word& word) {
  json loads = json::array();
  for (const target_load& load : word.loads) {
    loads.push_back(json::array({load.target.text(), load.runs, load.tokens,
                                 load.unread_tokens, load.is_failing}));
  }
  json crashes = json::array();
  for (const crash_notice& notice : word.crashes) {
    crashes.push_back(
        json::array({notice.digest, notice.target ? notice.target->text() : "",
                     notice.age.count()}));
  }
  const auto bytes = json::to_msgpack(json::array(
      {word.instance, word.started_at, word.number, loads, crashes}));
  return {bytes.begin(), bytes.end()};
}

std::optional<load_word> DecodeLoadWord(std::string_view bytes) {
  try {
    const json fields = json::from_msgpack(bytes.begin(), bytes.end());
    load_word word;
    word.instance = fields.at(0).get<std::string>();
    word.started_at = fields.at(1).get<std::int64_t>();
    word.number = fields.at(2).get<std::uint64_t>();
    for (const json& load : fields.at(3)) {
      word.loads.push_back({target_id(load.at(0).get<std::string>()),
                            load.at(1).get<std::int32_t>(),
                            load.at(2).get<std::int64_t>(),
                            load.at(3).get<std::int64_t>(),
                            load.size() > 4 && load.at(4).get<bool>()});
    }
    // Words of earlier versions end here.
    if (fields.size() < 5)
      return word;
    for (const json& fields_of_crash : fields.at(4))
      word.crashes.push_back(DecodeCrash(fields_of_crash));
    return word;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

load_exchange::load_exchange(const load_exchange_settings& settings,
                             std::string instance,
                             std::int64_t started_at,
                             i_scheduler& scheduler,
                             std::function<own_word()> own,
                             word_handler on_word)
    : settings_(settings),
      instance_(std::move(instance)),
      started_at_(started_at),
      scheduler_(scheduler),
      own_(std::move(own)),
      on_word_(std::move(on_word)) {}

void load_exchange::Start(i_datagram_port& port) {
  port_ = &port;
  Tell();
}

void load_exchange::SetPeers(std::vector<http_address> peers) {
  peers_ = std::move(peers);
}

void load_exchange::OnLoadChange() {
  if (change_pending_ || !port_)
    return;
  change_pending_ = true;
  const timestamp soon = scheduler_.Now() + settings_.coalesce;
  timer_ = scheduler_.RunAt(std::max(soon, told_at_ + MinPause()),
                            [this] { Tell(); });
}

microseconds load_exchange::MinPause() const {
  const double pause_s =
      static_cast<double>(peers_.size()) / settings_.datagrams_per_second;
  return microseconds(static_cast<std::int64_t>(pause_s * 1e6));
}

void load_exchange::Tell() {
  change_pending_ = false;
  told_at_ = scheduler_.Now();
  const own_word own = own_();
  const std::string bytes = EncodeLoadWord(
      {instance_, started_at_, next_number_++, own.loads, own.crashes});
  for (const http_address& peer : peers_)
    port_->Send(peer, bytes);
  timer_ = scheduler_.RunAt(told_at_ + RefreshPause(), [this] { Tell(); });
}

microseconds load_exchange::RefreshPause() const {
  return std::max<microseconds>(settings_.refresh, MinPause());
}

bool load_exchange::HeardLately(const std::string& instance) const {
  const auto found = newest_.find(instance);
  return found != newest_.end() &&
         scheduler_.Now() <
             found->second.heard_at + RefreshPause() * kMissedWords;
}

void load_exchange::OnDatagram(std::string_view bytes) {
  const auto word = DecodeLoadWord(bytes);
  if (!word || word->instance == instance_)
    return;
  heard_word& newest = newest_[word->instance];
  const auto order = std::pair(word->started_at, word->number);
  // Datagrams may overtake each other.
  if (order <= newest.order)
    return;
  newest = {order, scheduler_.Now()};
  on_word_(*word);
}

}  // namespace wist
