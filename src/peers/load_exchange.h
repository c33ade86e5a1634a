#ifndef PEERS_LOAD_EXCHANGE_H_
#define PEERS_LOAD_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/net/i_channel.h"
#include "framework/net/i_scheduler.h"
#include "limits/crash_ledger.h"
#include "selection/selection_types.h"

namespace wist {

// What one instance has running and which requests crashed targets, as it tells
// the others. Words of one instance are ordered by (started_at, number).
struct load_word {
  std::string instance;
  std::int64_t started_at = 0;  // Calendar time of the start, microseconds.
  std::uint64_t number = 0;
  std::vector<target_load> loads;
  std::vector<crash_notice> crashes;

  auto operator<=>(const load_word&) const = default;
};

std::string EncodeLoadWord(const load_word& word);

// Returns nothing if the bytes are no word.
std::optional<load_word> DecodeLoadWord(std::string_view bytes);

struct load_exchange_settings {
  // Changes that come together are told at once after this time.
  milliseconds coalesce{5};
  // Datagrams that one instance sends a second at the most: with more peers it
  // tells each of them less often.
  double datagrams_per_second = 2000;
  // Unchanged loads are told again after this time, since datagrams get lost.
  milliseconds refresh{1000};
};

// What an instance has to tell.
struct own_word {
  std::vector<target_load> loads;
  std::vector<crash_notice> crashes;
};

// Tells the other instances what runs here, and takes what they tell. Any word
// may be lost. Not thread-safe.
class load_exchange {
 public:
  using word_handler = std::function<void(const load_word&)>;

  load_exchange(const load_exchange_settings& settings,
                std::string instance,
                std::int64_t started_at,
                i_scheduler& scheduler,
                std::function<own_word()> own,
                word_handler on_word);

  // `port` has to live longer than the exchange.
  void Start(i_datagram_port& port);
  void SetPeers(std::vector<http_address> peers);

  // Whether the instance told anything within the time in which several of its
  // words were due.
  bool HeardLately(const std::string& instance) const;

  // What is to be told changed: the others hear of it soon.
  void OnLoadChange();
  void OnDatagram(std::string_view bytes);

 private:
  void Tell();
  microseconds MinPause() const;
  microseconds RefreshPause() const;

  const load_exchange_settings settings_;
  const std::string instance_;
  const std::int64_t started_at_;
  i_scheduler& scheduler_;
  const std::function<own_word()> own_;
  const word_handler on_word_;
  i_datagram_port* port_ = nullptr;
  std::vector<http_address> peers_;
  std::uint64_t next_number_ = 1;
  bool change_pending_ = false;
  timestamp told_at_{};
  std::unique_ptr<i_timer> timer_;
  struct heard_word {
    std::pair<std::int64_t, std::uint64_t> order;
    timestamp heard_at;
  };
  std::map<std::string, heard_word> newest_;
};

}  // namespace wist

#endif  // PEERS_LOAD_EXCHANGE_H_
