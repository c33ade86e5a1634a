#ifndef ADMISSION_INTERNAL_TARGET_LOAD_TRACKER_H_
#define ADMISSION_INTERNAL_TARGET_LOAD_TRACKER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "admission/admission_types.h"
#include "admission/internal/length_model.h"
#include "quota/quota_types.h"

namespace wist {

// Returns the memory forecast of one generation that has `prompt_tokens` and
// has produced `output_tokens` so far.
memory_forecast ForecastOf(const length_model& lengths,
                           std::int64_t prompt_tokens,
                           std::int64_t output_tokens);

// Tracks the load of one target as one instance sees it, and forecasts the
// target's memory use. Not thread-safe.
class target_load_tracker {
 public:
  explicit target_load_tracker(const target_spec& spec) : spec_(spec) {}

  const target_spec& spec() const { return spec_; }
  void SetSpec(const target_spec& spec) { spec_ = spec; }

  void OnReport(const target_report& report);

  // Makes the target unusable until a report that was taken after `now`.
  void OnFailure(timestamp now) { suspect_since_ = now; }

  // Records that the target is available again after it was leaving or its
  // failure domain was out. It counts as cold until a report that was taken
  // after `now` says that it is warm.
  void OnRejoin(timestamp now) { rejoined_at_ = now; }

  // Records that a token arrived from one of this instance's generations.
  void OnToken(timestamp now);

  // Makes the target unusable until its next report if no token has arrived for
  // much longer than usual. It may have turned cold or frozen, which its
  // reports show only later.
  void CheckTokenPace(timestamp now);

  void OnGrant(const quota_grant& grant);

  // Returns whether there is a recent report and the target has not failed or
  // been suspected since.
  bool IsUsable(timestamp now, milliseconds report_validity) const;
  bool cold() const {
    return report_ && (report_->cold || report_->taken_at < rejoined_at_);
  }
  int own_running() const { return own_running_; }

  void AddOwnForecast(const memory_forecast& forecast, timestamp now);
  void ReplaceOwnForecast(const memory_forecast& before,
                          const memory_forecast& after);
  void RemoveOwnForecast(const memory_forecast& forecast, timestamp now);

  // Returns the forecast peak of the memory use with `added` included, as a
  // share of the usable memory. Above 1, the risk that memory runs out exceeds
  // the accepted one.
  double PlannedShare(const memory_forecast& added,
                      const length_model& lengths,
                      const admission_settings& settings,
                      int instance_count,
                      timestamp now) const;

  // Estimates how many generations of all instances run on the target.
  double EstimateRunning(int instance_count, timestamp now) const;

  // Returns whether a tally is to be sent to the owner of the target's quota:
  // there is load or demand, or the last tally is too old.
  bool IsTallyDue(double queued_demand, timestamp now) const;
  target_tally TakeTally(double queued_demand, timestamp now);

  void RecordPrefix(const std::string& prefix, timestamp cached_until);
  bool IsPrefixCached(const std::string& prefix, timestamp now) const;

 private:
  struct own_load_sample {
    timestamp at;
    std::int32_t running = 0;
    double memory = 0;
  };

  bool HasValidGrant(timestamp now) const {
    return grant_ && now < grant_->deadline;
  }
  memory_forecast OthersForecastFromGrant() const;
  memory_forecast OthersForecastFromReport(const length_model& lengths,
                                           int instance_count) const;
  own_load_sample OwnLoadAt(timestamp at) const;
  void RecordOwnLoad(timestamp now);

  target_spec spec_;
  std::optional<target_report> report_;
  std::optional<timestamp> suspect_since_;
  timestamp rejoined_at_;
  std::optional<timestamp> last_token_at_;
  microseconds mean_token_gap_{20'000};
  memory_forecast own_forecast_;
  std::int32_t own_running_ = 0;
  std::deque<own_load_sample> own_load_history_;

  std::optional<quota_grant> grant_;
  // Work added by this instance that the current grant does not account for.
  memory_forecast forecast_added_since_tally_;
  std::int32_t requests_added_since_tally_ = 0;
  double interval_demand_ = 0;
  timestamp tallied_at_;

  std::map<std::string, timestamp> cached_until_by_prefix_;
};

}  // namespace wist

#endif  // ADMISSION_INTERNAL_TARGET_LOAD_TRACKER_H_
