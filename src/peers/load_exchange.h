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

// Message of one instance to its peers: its load on each target and its
// crash notices. Messages of one instance are ordered by (started_at,
// sequence_number).
struct peer_report {
  std::string instance;
  std::int64_t started_at = 0;  // Start of the instance, in Unix microseconds.
  std::uint64_t sequence_number = 0;
  std::vector<target_load> loads;
  std::vector<crash_notice> crashes;

  auto operator<=>(const peer_report&) const = default;
};

std::string EncodePeerReport(const peer_report& report);

// Returns nothing if the bytes cannot be decoded.
std::optional<peer_report> DecodePeerReport(std::string_view bytes);

struct load_exchange_settings {
  // Changes within this time are sent together.
  milliseconds coalescing_delay{5};
  // Limit on the datagrams that one instance sends per second. With more peers,
  // it sends to each of them less often.
  double max_datagrams_per_second = 2000;
  // Unchanged reports are sent again after this time, because datagrams may be
  // lost.
  milliseconds refresh_interval{1000};
};

// What this instance reports to its peers.
struct local_report {
  std::vector<target_load> loads;
  std::vector<crash_notice> crashes;
};

// Sends this instance's loads and crash notices to its peers in datagrams, and
// receives theirs. Any datagram may be lost. Not thread-safe.
class load_exchange {
 public:
  using report_handler = std::function<void(const peer_report&)>;

  load_exchange(const load_exchange_settings& settings,
                std::string instance,
                std::int64_t started_at,
                i_scheduler& scheduler,
                std::function<local_report()> collect_report,
                report_handler on_report);

  // `port` has to outlive the exchange.
  void Start(i_datagram_port& port);
  void SetPeers(std::vector<http_address> peers);

  // Returns whether a report of `instance` was received within the last few
  // refresh intervals.
  bool HeardFromRecently(const std::string& instance) const;

  // Schedules a report because the loads or crash notices have changed.
  void ScheduleReport();
  void OnDatagram(std::string_view bytes);

 private:
  void SendReport();
  microseconds MinSendInterval() const;
  microseconds RefreshInterval() const;

  const load_exchange_settings settings_;
  const std::string instance_;
  const std::int64_t started_at_;
  i_scheduler& scheduler_;
  const std::function<local_report()> collect_report_;
  const report_handler on_report_;
  i_datagram_port* port_ = nullptr;
  std::vector<http_address> peers_;
  std::uint64_t next_sequence_number_ = 1;
  bool send_pending_ = false;
  timestamp last_sent_at_{};
  std::unique_ptr<i_timer> send_timer_;
  struct received_report {
    std::pair<std::int64_t, std::uint64_t> order;
    timestamp received_at;
  };
  std::map<std::string, received_report> newest_reports_;
};

}  // namespace wist

#endif  // PEERS_LOAD_EXCHANGE_H_
