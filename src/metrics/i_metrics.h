#ifndef METRICS_I_METRICS_H_
#define METRICS_I_METRICS_H_

#include <string>
#include <string_view>

#include "framework/base/time_types.h"

namespace wist {

// Labels of the request metrics.
struct metric_labels {
  std::string service;
  std::string workspace;
  std::string domain;

  auto operator<=>(const metric_labels&) const = default;
};

// Collects the metrics of this instance. Thread-safe.
class i_metrics {
 public:
  virtual ~i_metrics() = default;

  virtual void OnRequest(const metric_labels& labels) = 0;
  virtual void OnRefusal(const metric_labels& labels,
                         std::string_view code,
                         std::string_view verdict) = 0;
  virtual void OnFirstToken(const metric_labels& labels,
                            microseconds latency) = 0;

  // Records the time between two consecutive tokens of a stream.
  virtual void OnTokenGap(const metric_labels& labels, microseconds gap) = 0;

  // A response of a target, of the store or of another instance broke the rule
  // with this name.
  virtual void OnInvalidResponse(const std::string& rule) = 0;

  virtual void SetRequestsInFlight(int count) = 0;

  // Sets the number of bytes exchanged with other instances since the start of
  // the process.
  virtual void SetControlBytes(double bytes) = 0;

  // Returns all metrics in the Prometheus text format.
  virtual std::string ToPrometheusText() = 0;
};

}  // namespace wist

#endif  // METRICS_I_METRICS_H_
