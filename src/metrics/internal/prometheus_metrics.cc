#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <sstream>

#include "metrics/metrics_module.h"

namespace wist {
namespace {

using prometheus::Histogram;

// A longer gap between two tokens counts as a stall.
constexpr double kStallThresholdSeconds = 0.2;

const Histogram::BucketBoundaries kFirstTokenBucketSeconds = {
    0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 1.9, 2.2, 3, 5, 10};
const Histogram::BucketBoundaries kTokenGapBucketSeconds = {
    0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.033, 0.036, 0.04,
    0.05,  0.07, 0.1,   0.2,  0.5,   1,    2,     5};

double ToSeconds(microseconds duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

prometheus::Labels ToLabels(const metric_labels& labels) {
  return {{"service", labels.service},
          {"workspace", labels.workspace},
          {"domain", labels.domain}};
}

class prometheus_metrics final : public i_metrics {
 public:
  prometheus_metrics()
      : requests_(prometheus::BuildCounter()
                      .Name("wisteriatally_requests_total")
                      .Help("Requests taken")
                      .Register(registry_)),
        refusals_(prometheus::BuildCounter()
                      .Name("wisteriatally_refusals_total")
                      .Help("Refused requests by code and verdict")
                      .Register(registry_)),
        stall_seconds_(prometheus::BuildCounter()
                           .Name("wisteriatally_stall_seconds_total")
                           .Help("Time beyond 0.2 s between two tokens")
                           .Register(registry_)),
        first_token_(prometheus::BuildHistogram()
                         .Name("wisteriatally_first_token_seconds")
                         .Help("Time from request to first token")
                         .Register(registry_)),
        gaps_(prometheus::BuildHistogram()
                  .Name("wisteriatally_between_tokens_seconds")
                  .Help("Time between two tokens of a stream")
                  .Register(registry_)),
        invalid_responses_(
            prometheus::BuildCounter()
                .Name("wisteriatally_invalid_responses_total")
                .Help("Responses that break a rule of the protocol, by rule")
                .Register(registry_)),
        requests_in_flight_(prometheus::BuildGauge()
                                .Name("wisteriatally_streams")
                                .Help("Requests in flight")
                                .Register(registry_)
                                .Add({})),
        control_bytes_(prometheus::BuildGauge()
                           .Name("wisteriatally_control_bytes")
                           .Help("Bytes of peer messages since the start")
                           .Register(registry_)
                           .Add({})) {}

  void OnRequest(const metric_labels& labels) override {
    FindOrCreateSeries(labels).requests->Increment();
  }

  void OnRefusal(const metric_labels& labels,
                 std::string_view code,
                 std::string_view verdict) override {
    prometheus::Labels prometheus_labels = ToLabels(labels);
    prometheus_labels["code"] = code;
    prometheus_labels["verdict"] = verdict;
    refusals_.Add(prometheus_labels).Increment();
  }

  void OnFirstToken(const metric_labels& labels,
                    microseconds latency) override {
    FindOrCreateSeries(labels).first_token->Observe(ToSeconds(latency));
  }

  void OnTokenGap(const metric_labels& labels, microseconds gap) override {
    const double gap_seconds = ToSeconds(gap);
    const metric_series& series = FindOrCreateSeries(labels);
    series.gaps->Observe(gap_seconds);
    if (gap_seconds > kStallThresholdSeconds)
      series.stall_seconds->Increment(gap_seconds - kStallThresholdSeconds);
  }

  void OnInvalidResponse(const std::string& rule) override {
    invalid_responses_.Add({{"rule", rule}}).Increment();
  }

  void SetRequestsInFlight(int count) override {
    requests_in_flight_.Set(count);
  }
  void SetControlBytes(double bytes) override { control_bytes_.Set(bytes); }

  std::string ToPrometheusText() override {
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, registry_.Collect());
    return out.str();
  }

 private:
  struct metric_series {
    prometheus::Counter* requests = nullptr;
    prometheus::Counter* stall_seconds = nullptr;
    Histogram* first_token = nullptr;
    Histogram* gaps = nullptr;
  };

  const metric_series& FindOrCreateSeries(const metric_labels& labels) {
    std::lock_guard lock(mutex_);
    const auto [found, added] = series_.try_emplace(labels);
    if (added) {
      const prometheus::Labels prometheus_labels = ToLabels(labels);
      found->second = {
          &requests_.Add(prometheus_labels),
          &stall_seconds_.Add(prometheus_labels),
          &first_token_.Add(prometheus_labels, kFirstTokenBucketSeconds),
          &gaps_.Add(prometheus_labels, kTokenGapBucketSeconds)};
    }
    return found->second;
  }

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& stall_seconds_;
  prometheus::Family<Histogram>& first_token_;
  prometheus::Family<Histogram>& gaps_;
  prometheus::Family<prometheus::Counter>& invalid_responses_;
  prometheus::Gauge& requests_in_flight_;
  prometheus::Gauge& control_bytes_;
  std::mutex mutex_;
  std::map<metric_labels, metric_series> series_;
};

}  // namespace

std::shared_ptr<i_metrics> MakePrometheusMetrics() {
  return std::make_shared<prometheus_metrics>();
}

}  // namespace wist
