#include "peers/load_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wist {
namespace {

using nlohmann::json;

// An instance counts as lost if no report of it was received for this many
// refresh intervals.
constexpr int kMaxMissedReports = 3;

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

std::string EncodePeerReport(const peer_report& report) {
  json loads = json::array();
  for (const target_load& load : report.loads) {
    loads.push_back(
        json::array({load.target.text(), load.runs, load.tokens,
                     load.pending_prefill_tokens, load.is_failing}));
  }
  json crashes = json::array();
  for (const crash_notice& notice : report.crashes) {
    crashes.push_back(
        json::array({notice.digest, notice.target ? notice.target->text() : "",
                     notice.age.count()}));
  }
  const auto bytes =
      json::to_msgpack(json::array({report.instance, report.started_at,
                                    report.sequence_number, loads, crashes}));
  return {bytes.begin(), bytes.end()};
}

std::optional<peer_report> DecodePeerReport(std::string_view bytes) {
  try {
    const json fields = json::from_msgpack(bytes.begin(), bytes.end());
    peer_report report;
    report.instance = fields.at(0).get<std::string>();
    report.started_at = fields.at(1).get<std::int64_t>();
    report.sequence_number = fields.at(2).get<std::uint64_t>();
    for (const json& load : fields.at(3)) {
      report.loads.push_back({target_id(load.at(0).get<std::string>()),
                              load.at(1).get<std::int32_t>(),
                              load.at(2).get<std::int64_t>(),
                              load.at(3).get<std::int64_t>(),
                              load.size() > 4 && load.at(4).get<bool>()});
    }
    // Reports of earlier versions contain no crash notices.
    if (fields.size() < 5)
      return report;
    for (const json& crash_fields : fields.at(4))
      report.crashes.push_back(DecodeCrash(crash_fields));
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

load_exchange::load_exchange(const load_exchange_settings& settings,
                             std::string instance,
                             std::int64_t started_at,
                             i_scheduler& scheduler,
                             std::function<local_report()> collect_report,
                             report_handler on_report)
    : settings_(settings),
      instance_(std::move(instance)),
      started_at_(started_at),
      scheduler_(scheduler),
      collect_report_(std::move(collect_report)),
      on_report_(std::move(on_report)) {}

void load_exchange::Start(i_datagram_port& port) {
  port_ = &port;
  SendReport();
}

void load_exchange::SetPeers(std::vector<http_address> peers) {
  peers_ = std::move(peers);
}

void load_exchange::ScheduleReport() {
  if (send_pending_ || !port_)
    return;
  send_pending_ = true;
  const timestamp coalesced_at = scheduler_.Now() + settings_.coalescing_delay;
  send_timer_ = scheduler_.RunAt(
      std::max(coalesced_at, last_sent_at_ + MinSendInterval()),
      [this] { SendReport(); });
}

microseconds load_exchange::MinSendInterval() const {
  const double interval_s =
      static_cast<double>(peers_.size()) / settings_.max_datagrams_per_second;
  return microseconds(static_cast<std::int64_t>(interval_s * 1e6));
}

void load_exchange::SendReport() {
  send_pending_ = false;
  last_sent_at_ = scheduler_.Now();
  const local_report own = collect_report_();
  const std::string bytes =
      EncodePeerReport({instance_, started_at_, next_sequence_number_++,
                        own.loads, own.crashes});
  for (const http_address& peer : peers_)
    port_->Send(peer, bytes);
  send_timer_ = scheduler_.RunAt(last_sent_at_ + RefreshInterval(),
                                 [this] { SendReport(); });
}

microseconds load_exchange::RefreshInterval() const {
  return std::max<microseconds>(settings_.refresh_interval, MinSendInterval());
}

bool load_exchange::HeardFromRecently(const std::string& instance) const {
  const auto found = newest_reports_.find(instance);
  return found != newest_reports_.end() &&
         scheduler_.Now() <
             found->second.received_at + RefreshInterval() * kMaxMissedReports;
}

void load_exchange::OnDatagram(std::string_view bytes) {
  const auto report = DecodePeerReport(bytes);
  if (!report || report->instance == instance_)
    return;
  received_report& newest = newest_reports_[report->instance];
  const auto order = std::pair(report->started_at, report->sequence_number);
  // Datagrams may arrive out of order or more than once.
  if (order <= newest.order)
    return;
  newest = {order, scheduler_.Now()};
  on_report_(*report);
}

}  // namespace wist
