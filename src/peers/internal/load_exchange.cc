#include "peers/load_exchange.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace wist {
namespace {

// Loads per datagram; keeps it far below the maximum size of one.
constexpr std::ptrdiff_t kMaxLoadsPerReport = 500;

}  // namespace

load_exchange::load_exchange(const load_exchange_settings& settings,
                             const known_instance& self,
                             std::int64_t started_at,
                             i_scheduler& scheduler,
                             std::function<local_report()> collect_report,
                             load_handler on_load,
                             crash_handler on_crash)
    : settings_(settings),
      instance_(self.name),
      started_at_(started_at),
      scheduler_(scheduler),
      collect_report_(std::move(collect_report)),
      on_load_(std::move(on_load)),
      on_crash_(std::move(on_crash)),
      neighbors_(self) {}

void load_exchange::Start(i_datagram_port& port) {
  port_ = &port;
  Check();
}

void load_exchange::SetInstances(std::vector<known_instance> others) {
  neighbors_.SetInstances(std::move(others), scheduler_.Now());
  HandleDropped();
  ScheduleSend(/*is_urgent=*/true);
}

void load_exchange::ScheduleReport() {
  const bool has_new_notices = CollectOwn();
  ScheduleSend(table_.TakeUrgentChange() || has_new_notices);
}

bool load_exchange::CollectOwn() {
  const local_report own = collect_report_();
  table_.SetOwn(own.loads);
  DistributeChanges();
  bool has_new_notices = false;
  for (const crash_notice& notice : own.crashes)
    has_new_notices = notices_.Add(notice, scheduler_.Now()) || has_new_notices;
  return has_new_notices;
}

void load_exchange::ScheduleSend(bool is_urgent) {
  if (!port_)
    return;
  const timestamp due =
      is_urgent ? std::max(scheduler_.Now() + settings_.urgent_coalescing_delay,
                           last_sent_at_ + settings_.min_urgent_send_interval)
                : std::max(scheduler_.Now() + settings_.coalescing_delay,
                           last_sent_at_ + settings_.min_send_interval);
  if (send_timer_ && send_due_ <= due)
    return;
  send_due_ = due;
  send_timer_ = scheduler_.RunAt(due, [this] {
    send_timer_.reset();
    SendReports(/*keepalives_due=*/false);
  });
}

void load_exchange::Check() {
  const timestamp now = scheduler_.Now();
  // Scheduled first, so that an exception does not end the checks.
  check_timer_ =
      scheduler_.RunAt(now + settings_.check_interval, [this] { Check(); });
  neighbors_.Check(now);
  table_.Expire(now);
  notices_.Expire(now);
  HandleDropped();
  ForgetFormerNeighbors();
  SendReports(/*keepalives_due=*/true);
  SendRollouts();
}

void load_exchange::EnableRollouts(
    std::function<std::vector<rollout_sums>()> collect) {
  collect_rollouts_ = std::move(collect);
}

// Each roll-out has its own datagram, which keeps all of them below the maximum
// size of one.
void load_exchange::SendRollouts() {
  const timestamp now = scheduler_.Now();
  if (!port_ || !collect_rollouts_ || now < rollouts_due_)
    return;
  rollouts_due_ = now + settings_.rollout_interval;
  rollouts_.Expire(now);
  rollouts_.SetOwn(collect_rollouts_());
  for (const tree_neighbor& neighbor : neighbors_.Current()) {
    for (rollout_sums& sums :
         rollouts_.SumsFor(neighbor.name, neighbor.role, now)) {
      neighbor_state& state = states_[neighbor.name];
      peer_report report{instance_, started_at_, state.next_sequence_number++,
                         neighbor.role};
      report.rollouts.push_back(std::move(sums));
      state.last_sent_at = now;
      port_->Send(neighbor.address, EncodePeerReport(report));
    }
  }
}

void load_exchange::HandleDropped() {
  for (const tree_neighbor& dropped : neighbors_.TakeDropped()) {
    table_.RemoveNeighbor(dropped.name);
    rollouts_.RemoveNeighbor(dropped.name);
    states_.erase(dropped.name);
    notices_.ForgetNeighbor(dropped.name);
    if (dropped.role == neighbor_role::parent)
      SendDetachment(dropped);
  }
  if (DistributeChanges())
    ScheduleSend(table_.TakeUrgentChange());
}

// Removes the state of instances that were tried as neighbors and never
// responded.
void load_exchange::ForgetFormerNeighbors() {
  std::set<std::string> current;
  for (const tree_neighbor& neighbor : neighbors_.Current())
    current.insert(neighbor.name);
  std::erase_if(states_, [&](const auto& entry) {
    if (current.contains(entry.first))
      return false;
    notices_.ForgetNeighbor(entry.first);
    return true;
  });
}

// Applies changed sums to this instance and marks them for all neighbors except
// `source`, whose sums do not contain its own reports. Returns whether there is
// anything to send.
bool load_exchange::DistributeChanges(const std::string& source) {
  bool is_marked = false;
  for (const target_id& target : table_.TakeChanged()) {
    on_load_(table_.OthersLoad(target));
    for (auto& [name, state] : states_) {
      if (name == source)
        continue;
      state.unsent_targets.insert(target);
      is_marked = true;
    }
  }
  return is_marked;
}

void load_exchange::SendReports(bool keepalives_due) {
  if (!port_)
    return;
  const timestamp now = scheduler_.Now();
  CollectOwn();
  table_.TakeUrgentChange();
  for (const tree_neighbor& neighbor : neighbors_.Current()) {
    neighbor_state& state = states_[neighbor.name];
    const std::vector<target_load> loads = TakeLoadsFor(neighbor, state);
    const std::vector<crash_notice> notices =
        notices_.TakeDue(neighbor.name, now);
    const bool is_idle =
        keepalives_due &&
        now >= state.last_sent_at + settings_.keepalive_interval;
    if (!loads.empty() || is_idle || !notices.empty() ||
        state.next_sequence_number == 1)
      SendReport(neighbor, state, loads, notices);
  }
  last_sent_at_ = now;
}

// Returns the loads that differ from those sent last and, from time to time,
// all loads.
std::vector<target_load> load_exchange::TakeLoadsFor(
    const tree_neighbor& neighbor,
    neighbor_state& state) {
  const bool is_refresh = scheduler_.Now() >= state.refresh_due;
  std::set<target_id> targets = std::exchange(state.unsent_targets, {});
  if (is_refresh) {
    state.refresh_due = scheduler_.Now() + settings_.refresh_interval;
    for (const target_id& target : table_.LoadedTargets())
      targets.insert(target);
    for (const auto& [target, load] : state.sent_loads)
      targets.insert(target);
  }
  std::vector<target_load> loads;
  for (const target_id& target : targets) {
    const target_load load =
        table_.LoadFor(neighbor.name, neighbor.role, target);
    const target_load none{target};
    const auto sent = state.sent_loads.find(target);
    const bool was_sent = sent != state.sent_loads.end();
    if (load == (was_sent ? sent->second : none) && !(is_refresh && was_sent))
      continue;
    loads.push_back(load);
    // The end of a load is sent twice: when it changes and with the refresh.
    if (load == none && was_sent && sent->second == none)
      state.sent_loads.erase(sent);
    else
      state.sent_loads[target] = load;
  }
  return loads;
}

void load_exchange::SendReport(const tree_neighbor& neighbor,
                               neighbor_state& state,
                               const std::vector<target_load>& loads,
                               const std::vector<crash_notice>& crashes) {
  state.last_sent_at = scheduler_.Now();
  peer_report report{instance_, started_at_, 0, neighbor.role};
  report.crashes = crashes;
  auto next = loads.begin();
  do {
    const auto count =
        std::min<std::ptrdiff_t>(kMaxLoadsPerReport, loads.end() - next);
    report.sequence_number = state.next_sequence_number++;
    report.loads.assign(next, next + count);
    next += count;
    port_->Send(neighbor.address, EncodePeerReport(report));
    report.crashes.clear();
  } while (next != loads.end());
}

void load_exchange::SendDetachment(const tree_neighbor& neighbor) {
  if (!port_)
    return;
  peer_report report{instance_, started_at_, ~std::uint64_t{0}, neighbor.role};
  report.detaches = true;
  port_->Send(neighbor.address, EncodePeerReport(report));
}

void load_exchange::Detach() {
  for (const tree_neighbor& neighbor : neighbors_.Current()) {
    if (neighbor.role == neighbor_role::parent)
      SendDetachment(neighbor);
  }
}

// Notices that are new here are passed on at once.
void load_exchange::HandleNotices(const std::vector<crash_notice>& received) {
  if (received.empty())
    return;
  for (const crash_notice& notice : received)
    on_crash_(notice);
  if (CollectOwn())
    ScheduleSend(/*is_urgent=*/true);
}

void load_exchange::OnDatagram(std::string_view bytes,
                               const http_address& sender) {
  const auto report = DecodePeerReport(bytes);
  if (!report || report->instance == instance_)
    return;
  const timestamp now = scheduler_.Now();
  HandleNotices(report->crashes);
  if (report->detaches) {
    if (report->receiver_role == neighbor_role::parent)
      neighbors_.OnDetached(report->instance);
    return HandleDropped();
  }
  const auto role =
      neighbors_.OnReport(report->instance, sender, report->receiver_role, now);
  // Loads of a former parent are removed before those of the new one arrive.
  HandleDropped();
  if (!role)
    return;
  const auto [entry, is_new] = states_.try_emplace(report->instance);
  neighbor_state& state = entry->second;
  const auto order = std::pair(report->started_at, report->sequence_number);
  // Datagrams may arrive out of order or more than once.
  if (order <= state.newest_received)
    return;
  if (report->started_at != state.newest_received.first) {
    // The neighbor has restarted, or is new: it needs all loads.
    table_.RemoveNeighbor(report->instance);
    rollouts_.RemoveNeighbor(report->instance);
    state.refresh_due = now;
  }
  state.newest_received = order;
  table_.SetReported(report->instance, *role, report->loads, now);
  if (collect_rollouts_)
    rollouts_.SetReported(report->instance, *role, report->rollouts, now);
  const bool has_changes = DistributeChanges(report->instance);
  const bool is_urgent = table_.TakeUrgentChange() || is_new;
  if (has_changes || is_new)
    ScheduleSend(is_urgent);
}

}  // namespace wist
