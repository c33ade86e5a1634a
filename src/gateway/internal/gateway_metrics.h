#ifndef GATEWAY_INTERNAL_GATEWAY_METRICS_H_
#define GATEWAY_INTERNAL_GATEWAY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "framework/base/time_types.h"
#include "rollout/version_samples.h"

namespace wist {

// What is shown of an active roll-out. The samples are those of all instances.
struct rollout_metrics {
  std::string service;
  std::string target;  // Version.
  std::string phase;
  std::string reason;  // Of a bad verdict; empty if there is none.
  double share = 0;
  stratum_counts samples;
};

// Metrics of a gateway, exported in the Prometheus text format.
class gateway_metrics {
 public:
  gateway_metrics();

  void OnRequestEnd(const std::string& kind,
                    const std::string& outcome,
                    microseconds duration);
  void OnFirstByte(const std::string& kind, microseconds duration);
  void OnMove(const std::string& outcome);
  // A stream ended without its last event; not counted if its caller left.
  void OnStreamBroken(const std::string& reason);
  // A request was sent to another instance, by how that ended.
  void OnRelay(const std::string& outcome);
  void OnResponseGivenUp();
  // A response broke the rule with this name.
  void OnInvalidResponse(const std::string& rule);
  // A request was refused, or a connection closed, because of `reason`.
  void OnShed(const std::string& reason);
  void OnHandlerFailure();
  // A brittle target refused a request for want of room.
  void OnBrittleRefusal();
  void OnStoreCall(const std::string& cause);
  void OnStoreLost();
  // The source of this instance no longer has the changes that it watches.
  void OnStoreHistoryGone();
  // Entries of an earlier revision than a known one were read and rejected.
  void OnStoreBehind();
  // The store has returned from an older copy.
  void OnStoreEra();
  void SetConfigurationAge(double seconds);
  void SetQuarantines(std::size_t count);
  void SetDroppedLogLines(std::uint64_t lines);

  void ClearRollouts();
  void AddRollout(const rollout_metrics& shown);

  std::string Text() const;

 private:
  const std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& moves_;
  prometheus::Family<prometheus::Counter>& broken_streams_;
  prometheus::Family<prometheus::Counter>& relays_;
  prometheus::Family<prometheus::Counter>& given_up_responses_;
  prometheus::Family<prometheus::Counter>& invalid_responses_;
  prometheus::Family<prometheus::Counter>& shed_requests_;
  prometheus::Family<prometheus::Counter>& brittle_refusals_;
  prometheus::Family<prometheus::Counter>& handler_failures_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Histogram>& first_byte_time_;
  prometheus::Family<prometheus::Histogram>& response_time_;
  prometheus::Family<prometheus::Gauge>& state_;
  prometheus::Family<prometheus::Gauge>& rollout_share_;
  prometheus::Family<prometheus::Gauge>& rollout_responses_;
  std::vector<prometheus::Gauge*> shown_shares_;
  std::vector<prometheus::Gauge*> shown_responses_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_GATEWAY_METRICS_H_
