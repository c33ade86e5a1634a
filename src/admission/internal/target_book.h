#ifndef ADMISSION_INTERNAL_TARGET_BOOK_H_
#define ADMISSION_INTERNAL_TARGET_BOOK_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "admission/admission_types.h"
#include "admission/internal/length_model.h"
#include "quota/quota_types.h"

namespace wist {

// Returns what a generation with `prompt` and `out` tokens adds to a forecast.
memory_forecast ForecastOf(const length_model& lengths,
                           std::int64_t prompt,
                           std::int64_t out);

// What one instance knows and expects of one target.
class target_book {
 public:
  explicit target_book(const target_spec& spec) : spec_(spec) {}

  const target_spec& spec() const { return spec_; }
  void SetSpec(const target_spec& spec) { spec_ = spec; }

  void OnReport(const target_report& report);

  // Nothing goes there until a report that was taken later.
  void OnFailure(timestamp now) { doubt_since_ = now; }

  // It was away and comes back: it counts as cold until a report that was
  // taken later says that it is warm.
  void OnReturn(timestamp now) { returned_at_ = now; }

  // A token of one of this instance's generations came.
  void OnToken(timestamp now);

  // Doubts a target whose tokens stopped coming at their usual pace: it may
  // have turned cold or frozen, and its reports lag.
  void WatchPace(timestamp now);

  void OnGrant(const quota_grant& grant);

  // Whether there is a recent report and no failure after it.
  bool Usable(timestamp now, milliseconds report_validity) const;
  bool cold() const {
    return report_ && (report_->cold || report_->taken_at < returned_at_);
  }
  int own_running() const { return own_running_; }

  void AddOwn(const memory_forecast& forecast, timestamp now);
  void ReplaceOwn(const memory_forecast& before, const memory_forecast& after);
  void RemoveOwn(const memory_forecast& forecast, timestamp now);

  // Returns the share of the memory that would be planned for with `added` on
  // top; over 1 if memory may run out with more than the accepted risk.
  double PlannedShare(const memory_forecast& added,
                      const length_model& lengths,
                      const admission_settings& settings,
                      int instance_count,
                      timestamp now) const;

  // Returns the generations believed to run there, of all instances.
  double RunningEstimate(int instance_count, timestamp now) const;

  // Whether the owner has something to learn, or the grant grows old.
  bool WantsTally(double queued_demand, timestamp now) const;
  target_tally Tally(double queued_demand, timestamp now);

  void NotePrefix(const std::string& prefix, timestamp cached_until);
  bool HoldsPrefix(const std::string& prefix, timestamp now) const;

 private:
  struct own_sample {
    timestamp at;
    std::int32_t running = 0;
    double memory = 0;
  };

  bool Granted(timestamp now) const { return grant_ && now < grant_->deadline; }
  memory_forecast OthersFromGrant() const;
  memory_forecast OthersFromReport(const length_model& lengths,
                                   int instance_count) const;
  own_sample OwnAt(timestamp at) const;
  void RememberOwn(timestamp now);

  target_spec spec_;
  std::optional<target_report> report_;
  std::optional<timestamp> doubt_since_;
  timestamp returned_at_;
  std::optional<timestamp> last_token_at_;
  microseconds usual_gap_{20'000};
  memory_forecast own_;
  std::int32_t own_running_ = 0;
  std::deque<own_sample> own_history_;

  std::optional<quota_grant> grant_;
  // Own additions that the grant in force does not know of.
  memory_forecast added_since_tally_;
  std::int32_t added_count_since_tally_ = 0;
  double demand_ = 0;
  timestamp tallied_at_;

  std::map<std::string, timestamp> prefixes_;
};

}  // namespace wist

#endif  // ADMISSION_INTERNAL_TARGET_BOOK_H_
