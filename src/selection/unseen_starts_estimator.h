#ifndef SELECTION_UNSEEN_STARTS_ESTIMATOR_H_
#define SELECTION_UNSEEN_STARTS_ESTIMATOR_H_

#include <cstddef>
#include <optional>

#include "framework/base/time_types.h"

namespace wist {

// Estimates how many runs other instances have started on the targets of a
// service that are not part of the reported loads yet, from the age of the
// reports and from the rates at which this instance starts runs and at which
// the reported numbers of runs grow. Reads no clock.
class unseen_starts_estimator {
 public:
  // This instance has started a run.
  void OnOwnStart(timestamp now);

  // A report contained `added_runs` more runs on a target than the one before.
  void OnReportedStarts(int added_runs, timestamp now);

  // `report_age` is the expected age of the reported loads.
  double Estimate(std::size_t instance_count,
                  microseconds report_age,
                  timestamp now) const;

 private:
  // An event rate that is averaged over the last seconds.
  class event_rate {
   public:
    void Add(double count, timestamp now);
    // Returns events per second; nothing before there is enough history.
    double PerSecond(timestamp now) const;

   private:
    std::optional<timestamp> first_at_;
    timestamp updated_at_{};
    // Decays exponentially.
    double count_ = 0;
  };

  event_rate own_starts_;
  event_rate reported_starts_;
};

// Estimates the age of the reported loads from the intervals between reports.
// Reads no clock.
class report_age_estimator {
 public:
  void OnReport(timestamp now);

  // Returns the expected age at `now`, which grows while no reports arrive.
  // `instance_count` determines over how many instances a report travels.
  microseconds Age(std::size_t instance_count, timestamp now) const;

 private:
  std::optional<timestamp> last_report_at_;
  // Average and a low quantile of the intervals between reports.
  double interval_us_ = 0;
  double short_interval_us_ = 0;
};

}  // namespace wist

#endif  // SELECTION_UNSEEN_STARTS_ESTIMATOR_H_
