#ifndef LIMITS_CRASH_EVIDENCE_H_
#define LIMITS_CRASH_EVIDENCE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "limits/crash_attribution.h"
#include "limits/crash_types.h"

namespace wist {

// When runs with a suspect last produced output. The oldest entries are dropped
// when there are too many. Reads no clock.
class output_history {
 public:
  void Add(suspect_digest suspect, timestamp at);
  std::optional<timestamp> Last(suspect_digest suspect) const;
  void Expire(timestamp now);
  bool IsEmpty() const { return newer_.empty() && older_.empty(); }

 private:
  using time_map = std::unordered_map<suspect_digest, timestamp>;

  void Rotate(timestamp now);

  // Entries move from `newer_` to `older_` and are then dropped.
  time_map newer_;
  time_map older_;
  timestamp rotated_at_;
};

// The recent crashes of targets with the suspects of the runs on them, and when
// runs with these suspects produced output. Bounded; not thread-safe; reads no
// clock.
class crash_evidence {
 public:
  // Reports of crashes of one target within `same_crash_window` are about one
  // crash.
  crash_evidence(seconds retention, milliseconds same_crash_window)
      : retention_(retention), same_crash_window_(same_crash_window) {}

  // Returns whether the crash was not known for this run.
  bool AddCrash(const run_fingerprint& run,
                const target_id& target,
                timestamp at);

  // Returns whether a crash that was held against the suspect no longer is.
  bool AddOutput(suspect_digest suspect, timestamp at);

  // Whether a target crashed under a run with the suspect.
  bool IsSuspect(suspect_digest suspect) const;

  std::optional<timestamp> LastOutput(suspect_digest suspect) const;

  // Returns the crashes with the suspects with which no run has produced output
  // since.
  crash_observations Observe() const;

  // Returns the targets that crashed with the suspect.
  std::vector<target_id> CrashedTargets(suspect_digest suspect) const;

  // Reports of all crashes, newest first.
  std::vector<crash_notice> Notices(timestamp now) const;

  // Reports of the last outputs with suspects of these crashes.
  std::vector<crash_notice> Outputs(timestamp now) const;

  // Returns whether anything was removed.
  bool Expire(timestamp now);

  // Whether no crash is recorded.
  bool IsEmpty() const { return crashes_.empty(); }

 private:
  struct crash {
    target_id target;
    timestamp at;
    std::map<request_digest, suspect_set> runs;
  };

  struct suspect_state {
    // Number of runs with the suspect that crashes broke.
    std::size_t run_count = 0;
    std::optional<timestamp> last_output;
  };

  crash* FindCrash(request_digest request,
                   const target_id& target,
                   timestamp at);
  void AddSuspect(suspect_digest suspect);
  void RemoveSuspects(const crash& removed);
  static bool HasSuspect(const crash& entry, suspect_digest suspect);
  bool IsOpen(suspect_digest suspect, timestamp crashed_at) const;

  const seconds retention_;
  const milliseconds same_crash_window_;
  std::vector<crash> crashes_;  // Ordered by time.
  // The suspects of `crashes_`.
  std::unordered_map<suspect_digest, suspect_state> suspects_;
  output_history outputs_;
};

}  // namespace wist

#endif  // LIMITS_CRASH_EVIDENCE_H_
