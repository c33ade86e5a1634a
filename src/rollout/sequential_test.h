#ifndef ROLLOUT_SEQUENTIAL_TEST_H_
#define ROLLOUT_SEQUENTIAL_TEST_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "framework/base/time_types.h"

namespace wist {

// Number of events (bad or slow responses) among the responses of the new
// version in one stratum, and what is expected of them.
struct event_counts {
  std::uint32_t domain = 0;
  double new_events = 0;
  double new_responses = 0;
  double old_events = 0;
  // Responses of the old version over the same period; 0 if there were too
  // few, so that the new ones are compared with `expected_rate`.
  double old_responses = 0;
  double expected_rate = 0;
};

// Sequential test of whether events are more frequent on the new version than
// `tolerance` allows, as odds ratio. Its evidence is a mixture of likelihood
// ratios over odds ratios and over the times at which a version may have turned
// bad. For a version without a difference it is a supermartingale, so that the
// probability that it ever reaches 1/a is at most a, however often it is looked
// at. The evidence of each failure domain is kept apart: a domain that is slow
// or failing by itself does not count alone if the others can be compared.
class sequential_test {
 public:
  // Adds the counts of all strata in one period, which ends at `now`.
  void AddPeriod(const std::vector<event_counts>& strata,
                 double tolerance,
                 timestamp now);

  // Logarithm of the evidence.
  double LogEvidence() const;

  // The smallest evidence that remains without the counts of one domain, if the
  // other domains hold enough of the new version's responses.
  double LogEvidenceWithoutAnyDomain() const;

  double new_events() const { return new_events_; }

 private:
  static constexpr std::array<double, 4> kOddsRatios = {2, 5, 20, 100};
  using log_evidence = std::array<double, kOddsRatios.size()>;

  struct domain_state {
    // Evidence without this domain.
    log_evidence without{};
    double new_responses = 0;
  };

  static log_evidence NoEvidence();

  log_evidence all_ = NoEvidence();
  std::map<std::uint32_t, domain_state> domains_;
  double starts_ = 0;
  std::optional<timestamp> last_start_at_;
  double new_events_ = 0;
  double new_responses_ = 0;
};

}  // namespace wist

#endif  // ROLLOUT_SEQUENTIAL_TEST_H_
