#ifndef PEERS_LOAD_EXCHANGE_H_
#define PEERS_LOAD_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "framework/net/i_channel.h"
#include "framework/net/i_scheduler.h"
#include "peers/load_table.h"
#include "peers/notice_outbox.h"
#include "peers/peer_report.h"
#include "peers/rollout_table.h"
#include "peers/tree_neighbors.h"

namespace wist {

struct load_exchange_settings {
  // Changes within this time are sent together.
  milliseconds coalescing_delay{5};
  // Minimum interval between two reports to a neighbor.
  milliseconds min_send_interval{40};
  // The same where prompts were added to a target: until the others know of
  // them, they prefer that target as well.
  milliseconds urgent_coalescing_delay{1};
  milliseconds min_urgent_send_interval{8};
  // A neighbor is sent a report after this time even if nothing changed.
  milliseconds keepalive_interval{250};
  // All loads are sent again after this time, because datagrams may be lost.
  milliseconds refresh_interval{1000};
  // Interval of the sums of active roll-outs.
  milliseconds rollout_interval{250};
  // Interval of the checks for silent neighbors and due keepalives.
  milliseconds check_interval{125};
};

// What this instance reports to its peers.
struct local_report {
  std::vector<target_load> loads;
  // Notices that were not collected before.
  std::vector<crash_notice> crashes;
};

// Exchanges sums of loads and crash notices with the neighbors in the watch
// tree, in datagrams. Any datagram may be lost. An instance sends and receives
// as many messages as it has neighbors, however many instances there are. Not
// thread-safe.
class load_exchange {
 public:
  // Receives the load of all other instances on a target.
  using load_handler = std::function<void(const target_load&)>;
  using crash_handler = std::function<void(const crash_notice&)>;

  load_exchange(const load_exchange_settings& settings,
                const known_instance& self,
                std::int64_t started_at,
                i_scheduler& scheduler,
                std::function<local_report()> collect_report,
                load_handler on_load,
                crash_handler on_crash);

  // Enables the exchange of the sums of roll-outs. `collect` returns those of
  // this instance for the active ones.
  void EnableRollouts(std::function<std::vector<rollout_sums>()> collect);

  // Returns the sums over all other instances.
  std::vector<rollout_sums> OthersRollouts() const {
    return rollouts_.Others(scheduler_.Now());
  }

  // `port` has to outlive the exchange.
  void Start(i_datagram_port& port);

  // Sets the announced instances other than this one.
  void SetInstances(std::vector<known_instance> others);

  // Schedules reports because the loads or crash notices have changed.
  void ScheduleReport();
  void OnDatagram(std::string_view bytes, const http_address& sender);

  // Tells the parent that this instance ends.
  void Detach();

  const tree_neighbors& neighbors() const { return neighbors_; }

 private:
  // What was sent to and received from a neighbor.
  struct neighbor_state {
    std::uint64_t next_sequence_number = 1;
    timestamp last_sent_at{};
    timestamp refresh_due{};
    // Targets whose load may differ from the one sent last.
    std::set<target_id> unsent_targets;
    std::map<target_id, target_load> sent_loads;
    std::pair<std::int64_t, std::uint64_t> newest_received;
  };

  void Check();
  void ScheduleSend(bool is_urgent);
  // Returns whether there are new crash notices.
  bool CollectOwn();
  void SendReports(bool keepalives_due);
  std::vector<target_load> TakeLoadsFor(const tree_neighbor& neighbor,
                                        neighbor_state& state);
  void SendReport(const tree_neighbor& neighbor,
                  neighbor_state& state,
                  const std::vector<target_load>& loads,
                  const std::vector<crash_notice>& crashes);
  void SendRollouts();
  void SendDetachment(const tree_neighbor& neighbor);
  void HandleDropped();
  void ForgetFormerNeighbors();
  void HandleNotices(const std::vector<crash_notice>& received);
  bool DistributeChanges(const std::string& source = "");

  const load_exchange_settings settings_;
  const std::string instance_;
  const std::int64_t started_at_;
  i_scheduler& scheduler_;
  const std::function<local_report()> collect_report_;
  const load_handler on_load_;
  const crash_handler on_crash_;
  i_datagram_port* port_ = nullptr;
  tree_neighbors neighbors_;
  load_table table_;
  notice_outbox notices_;
  std::function<std::vector<rollout_sums>()> collect_rollouts_;
  rollout_table rollouts_;
  timestamp rollouts_due_{};
  std::map<std::string, neighbor_state> states_;
  timestamp last_sent_at_{};
  timestamp send_due_{};
  std::unique_ptr<i_timer> send_timer_;
  std::unique_ptr<i_timer> check_timer_;
};

}  // namespace wist

#endif  // PEERS_LOAD_EXCHANGE_H_
