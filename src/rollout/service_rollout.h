#ifndef ROLLOUT_SERVICE_ROLLOUT_H_
#define ROLLOUT_SERVICE_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/rollout_judge.h"
#include "rollout/rollout_types.h"
#include "rollout/rollout_view.h"

namespace wist {

// Returns the duration of a roll-out, at most 24 h.
microseconds DurationOf(const rollout_request& request);

// One instance's view of the roll-outs of one service. The functions are those
// of `rollout_tracker`, which holds one for each service.
class service_rollout {
 public:
  service_rollout(const service_id& service, const rollout_settings& settings)
      : service_(service), settings_(settings) {}

  void OnRequest(const decoded_rollout_request& request,
                 std::int64_t revision,
                 const rollout_time& time);
  void OnRequestRemoved();
  void OnStatus(const std::optional<rollout_status>& status,
                std::int64_t revision);
  void OnResponse(const sample_stratum& stratum,
                  const version_name& version,
                  const response_sample& sample);
  void SetOpenRuns(const std::map<version_name, std::uint64_t>& open_runs) {
    open_runs_ = open_runs;
  }
  void SetFleetReport(const rollout_id& id, fleet_report report);

  void Advance(bool is_configured,
               const std::vector<rollout_target>& targets,
               const rollout_time& time,
               std::vector<service_event>& events);
  std::optional<status_write> TakeWrite(timestamp now);

  const rollout_view& view() const { return view_; }
  const version_samples* own_samples() const {
    return running_ ? &running_->own : nullptr;
  }

 private:
  // Content of the roll-out request's key.
  struct stored_request {
    decoded_rollout_request content;
    std::int64_t revision = 0;
    rollout_time seen_at;
    bool is_settled = false;   // Accepted or belongs to a decided roll-out.
    bool is_rejected = false;  // The rejection was reported.
  };

  struct running_rollout {
    rollout_request request;
    // Revisions of the requests with this content: the first one, and the last
    // one if it was written again.
    std::int64_t first_revision = 0;
    std::int64_t revision = 0;
    timestamp started_at;
    calendar_time started_calendar;
    timestamp observed_since;
    std::optional<timestamp> shifted_at;
    rollout_judge judge;
    version_samples own;
    fleet_report fleet;
    // The reports of all other instances are there and recent.
    bool is_fleet_known = false;
    // A target of the new version accepts requests.
    bool has_target = false;
    std::optional<bad_verdict> bad;
  };

  void SettleStatus(const rollout_time& time);
  void SettleRequest(bool is_configured,
                     const std::vector<rollout_target>& targets,
                     const rollout_time& time,
                     std::vector<service_event>& events);
  void Start(const rollout_request& request,
             std::int64_t revision,
             const rollout_time& time);
  void Resume(const rollout_time& time);
  void SetEstablished(const std::vector<rollout_target>& targets,
                      timestamp now);
  void Judge(const std::vector<rollout_target>& targets,
             timestamp now,
             std::vector<service_event>& events);
  version_rule CurrentRule() const;
  void UpdateView(const std::vector<rollout_target>& targets,
                  std::vector<service_event>& events);

  bool IsAboutRunning(const rollout_status& status) const;
  bool IsGood() const;
  bool MaySucceed(timestamp now) const;
  std::optional<rollout_status> DesiredStatus(timestamp now) const;
  std::optional<rollout_status> DesiredOfRunning(timestamp now) const;
  timestamp Deadline() const;
  timestamp ShiftTime(timestamp now) const;
  double BaseShare() const;
  bool HasBudget() const;
  double CurrentShare() const;
  double RaisedShare(timestamp now) const;
  std::string Describe(const bad_verdict& verdict) const;

  const service_id service_;
  const rollout_settings settings_;
  std::optional<stored_request> request_;
  std::optional<rollout_status> status_;
  std::int64_t status_revision_ = 0;
  std::optional<running_rollout> running_;
  // The final status that this instance has read. Kept if its key is removed.
  std::optional<rollout_status> decided_;
  // Versions that served the service before the roll-out.
  std::set<version_name> established_;
  // When the versions that serve it without a roll-out are fixed.
  std::optional<timestamp> established_deadline_;
  std::map<version_name, std::uint64_t> open_runs_;
  std::optional<timestamp> next_write_at_;
  rollout_view view_;
};

}  // namespace wist

#endif  // ROLLOUT_SERVICE_ROLLOUT_H_
