#ifndef LIMITS_CRASH_LEDGER_H_
#define LIMITS_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limits/crash_attribution.h"
#include "limits/crash_evidence.h"
#include "limits/crash_types.h"

namespace wist {

struct crash_ledger_settings {
  attribution_settings attribution;
  // Reports of crashes of one target within this time are about one crash:
  // instances notice it at different times, and the target needs longer to
  // start again.
  milliseconds same_crash_window{3000};
  // Time for which a crash counts.
  seconds crash_retention{60};
  // Time for which a quarantine lasts after its last crash and, if refusals
  // extend it, after the last request that it refused.
  seconds quarantine_retention{600};
  bool refusals_extend_quarantine = true;

  auto operator<=>(const crash_ledger_settings&) const = default;
};

// Records which requests, and which parts of prompts, crash the targets that
// run them, from this instance's observations and the reports of its peers. Not
// thread-safe; reads no clock.
class crash_ledger {
 public:
  // Receives a quarantine to which no request is subject any more, since runs
  // with all of its suspects produced output here.
  using lift_handler = std::function<void(const quarantine&)>;

  explicit crash_ledger(const crash_ledger_settings& settings = {});

  void SubscribeToLifts(lift_handler handler);

  // Records that a target crashed under a run. Returns whether that was new.
  bool OnCrash(const run_fingerprint& run,
               const target_id& target,
               timestamp now);

  // The run has produced output: the parts of its prompt do not crash targets.
  void OnOutput(const run_fingerprint& run, timestamp now);

  // The target responded completely: neither does the request.
  void OnResponse(const run_fingerprint& run, timestamp now);

  // Handles the report of a peer.
  void OnNotice(const crash_notice& notice, timestamp now);

  // Returns the quarantine because of which the request is refused, or nothing
  // if it is allowed.
  std::optional<quarantine> FindQuarantine(const run_fingerprint& run,
                                           timestamp now);

  // Whether a target crashed under a run with one of the prompt's parts, and no
  // run with that part has ever produced output.
  bool IsSuspect(const run_fingerprint& run) const;

  // Whether more crashes than needed are held against the suspects. Then also
  // runs that have not begun their response should be ended.
  bool IsConfirmed(const quarantine& active) const;

  // A request was refused because of the quarantine.
  void OnRefusal(const quarantine& refusing, timestamp now);

  // Starts or extends a quarantine that was read from the store.
  void Restore(const suspect_set& suspects, timestamp now);

  // Lifts a quarantine that another instance has found to be wrong.
  void Lift(const suspect_set& suspects);

  // Sets the earliest time at which a quarantine ends.
  void ExtendTo(const std::string& name, timestamp deadline);

  // The quarantines in effect, by name.
  const std::map<std::string, quarantine>& Quarantines();

  // Returns the targets that crashed under the request.
  std::vector<target_id> CrashedTargets(request_digest request) const {
    return evidence_.CrashedTargets(request);
  }

  // Whether nothing is recorded that an output or response could change.
  bool IsEmpty() const { return evidence_.IsEmpty() && quarantines_.empty(); }

  // Returns the reports of the last seconds that are newer than the one with
  // the number `after`, in the order in which they were learned.
  std::vector<crash_notice> RecentNotices(timestamp now,
                                          std::uint64_t after = 0) const;

  // Number of the newest report; 0 if there was none.
  std::uint64_t LastNoticeNumber() const { return last_notice_number_; }

  // Returns the reports of all crashes that count, newest first.
  std::vector<crash_notice> AllCrashes(timestamp now) const {
    return evidence_.Notices(now);
  }

  // Returns the reports of all outputs with suspects of these crashes.
  std::vector<crash_notice> AllOutputs(timestamp now) const {
    return evidence_.Outputs(now);
  }

  void Expire(timestamp now);

 private:
  struct fresh_notice {
    // Its age counts until `learned_at`.
    crash_notice notice;
    timestamp learned_at;
    std::uint64_t number = 0;
  };

  bool RecordCrash(const run_fingerprint& run,
                   const target_id& target,
                   timestamp at,
                   timestamp now);
  void RecordOutput(suspect_digest suspect,
                    timestamp at,
                    timestamp now,
                    bool observed_here);
  bool IsQuarantined(suspect_digest suspect) const;
  bool RemoveFromQuarantines(suspect_digest suspect, bool observed_here);
  void AddFreshNotice(crash_notice notice, timestamp now);
  void AttributeNewCrashes();
  void StartQuarantine(const suspect_set& suspects, timestamp deadline);

  const crash_ledger_settings settings_;
  lift_handler on_lift_ = [](const quarantine&) {};
  crash_evidence evidence_;
  // Whether the evidence has changed since it was attributed. That is done when
  // its result is needed, since the reports of one crash come in series.
  bool has_new_evidence_ = false;
  std::map<std::string, quarantine> quarantines_;
  std::vector<fresh_notice> fresh_notices_;  // In the order of their numbers.
  std::uint64_t last_notice_number_ = 0;
};

}  // namespace wist

#endif  // LIMITS_CRASH_LEDGER_H_
