#include "gateway/internal/gateway_metrics.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace wist {
namespace {

using prometheus::Histogram;

// Upper bounds in seconds: from a plain call within one failure domain to the
// longest generation.
const Histogram::BucketBoundaries kLatencyBuckets = {
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64};

double ToSeconds(microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

gateway_metrics::gateway_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("wist_gateway_requests_total")
                    .Help("Requests by kind and outcome")
                    .Register(*registry_)),
      moves_(prometheus::BuildCounter()
                 .Name("wist_gateway_moves_total")
                 .Help("Runs moved to another target, by outcome")
                 .Register(*registry_)),
      broken_streams_(prometheus::BuildCounter()
                          .Name("wist_gateway_streams_broken_total")
                          .Help("Streams that ended without their last event, "
                                "by reason")
                          .Register(*registry_)),
      relays_(prometheus::BuildCounter()
                  .Name("wist_gateway_relays_total")
                  .Help("Requests sent to other instances, by outcome")
                  .Register(*registry_)),
      given_up_responses_(
          prometheus::BuildCounter()
              .Name("wist_gateway_responses_given_up_total")
              .Help(
                  "Responses given up since this instance held too many bytes")
              .Register(*registry_)),
      invalid_responses_(
          prometheus::BuildCounter()
              .Name("wist_gateway_invalid_responses_total")
              .Help("Responses that break a rule of the protocol, by rule")
              .Register(*registry_)),
      shed_requests_(
          prometheus::BuildCounter()
              .Name("wist_gateway_requests_shed_total")
              .Help("Requests refused or connections closed for want of memory "
                    "or descriptors, by reason")
              .Register(*registry_)),
      brittle_refusals_(
          prometheus::BuildCounter()
              .Name("wist_gateway_brittle_refusals_total")
              .Help("Requests that brittle targets refused for want of room")
              .Register(*registry_)),
      handler_failures_(
          prometheus::BuildCounter()
              .Name("wist_gateway_handler_failures_total")
              .Help("Connections, calls or timers that an exception has ended")
              .Register(*registry_)),
      store_calls_(prometheus::BuildCounter()
                       .Name("wist_gateway_store_calls_total")
                       .Help("Calls to the platform's store, by cause; losses "
                             "of the store by outcome")
                       .Register(*registry_)),
      first_byte_time_(
          prometheus::BuildHistogram()
              .Name("wist_gateway_first_byte_seconds")
              .Help("Time from a request to the first byte sent back")
              .Register(*registry_)),
      response_time_(prometheus::BuildHistogram()
                         .Name("wist_gateway_answer_seconds")
                         .Help("Time from a request to the end of its answer")
                         .Register(*registry_)),
      state_(prometheus::BuildGauge()
                 .Name("wist_gateway_state")
                 .Help("State of this instance")
                 .Register(*registry_)),
      rollout_share_(prometheus::BuildGauge()
                         .Name("wist_gateway_rollout_share")
                         .Help("Share of the requests for the new version of "
                               "an active roll-out")
                         .Register(*registry_)),
      rollout_responses_(prometheus::BuildGauge()
                             .Name("wist_gateway_rollout_responses")
                             .Help("Responses of all instances' targets during "
                                   "an active roll-out")
                             .Register(*registry_)) {}

void gateway_metrics::OnRequestEnd(const std::string& kind,
                                   const std::string& outcome,
                                   microseconds duration) {
  requests_.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
  response_time_.Add({{"kind", kind}}, kLatencyBuckets)
      .Observe(ToSeconds(duration));
}

void gateway_metrics::OnFirstByte(const std::string& kind,
                                  microseconds duration) {
  first_byte_time_.Add({{"kind", kind}}, kLatencyBuckets)
      .Observe(ToSeconds(duration));
}

void gateway_metrics::OnMove(const std::string& outcome) {
  moves_.Add({{"outcome", outcome}}).Increment();
}

void gateway_metrics::OnStreamBroken(const std::string& reason) {
  broken_streams_.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::OnRelay(const std::string& outcome) {
  relays_.Add({{"outcome", outcome}}).Increment();
}

void gateway_metrics::OnResponseGivenUp() {
  given_up_responses_.Add({}).Increment();
}

void gateway_metrics::OnBrittleRefusal() {
  brittle_refusals_.Add({}).Increment();
}

void gateway_metrics::OnInvalidResponse(const std::string& rule) {
  invalid_responses_.Add({{"rule", rule}}).Increment();
}

void gateway_metrics::OnShed(const std::string& reason) {
  shed_requests_.Add({{"reason", reason}}).Increment();
}

void gateway_metrics::OnHandlerFailure() {
  handler_failures_.Add({}).Increment();
}

void gateway_metrics::OnStoreCall(const std::string& cause) {
  store_calls_.Add({{"cause", cause}}).Increment();
}

void gateway_metrics::OnStoreLost() {
  store_calls_.Add({{"outcome", "lost"}}).Increment();
}

void gateway_metrics::OnStoreHistoryGone() {
  store_calls_.Add({{"outcome", "history_gone"}}).Increment();
}

void gateway_metrics::OnStoreBehind() {
  store_calls_.Add({{"outcome", "behind"}}).Increment();
}

void gateway_metrics::OnStoreEra() {
  store_calls_.Add({{"outcome", "new_era"}}).Increment();
}

void gateway_metrics::SetConfigurationAge(double seconds) {
  state_.Add({{"value", "configuration_age_seconds"}}).Set(seconds);
}

void gateway_metrics::SetQuarantines(std::size_t count) {
  state_.Add({{"value", "quarantines"}}).Set(static_cast<double>(count));
}

void gateway_metrics::SetDroppedLogLines(std::uint64_t lines) {
  state_.Add({{"value", "dropped_log_lines"}}).Set(static_cast<double>(lines));
}

// Families without gauges are not part of the text.
void gateway_metrics::ClearRollouts() {
  for (prometheus::Gauge* gauge : std::exchange(shown_shares_, {}))
    rollout_share_.Remove(gauge);
  for (prometheus::Gauge* gauge : std::exchange(shown_responses_, {}))
    rollout_responses_.Remove(gauge);
}

void gateway_metrics::AddRollout(const rollout_metrics& shown) {
  prometheus::Gauge& share = rollout_share_.Add({{"service", shown.service},
                                                 {"target", shown.target},
                                                 {"phase", shown.phase},
                                                 {"reason", shown.reason}});
  share.Set(shown.share);
  shown_shares_.push_back(&share);
  const auto add = [&](const char* version, const char* kind,
                       std::uint32_t count) {
    prometheus::Gauge& gauge = rollout_responses_.Add(
        {{"service", shown.service}, {"version", version}, {"kind", kind}});
    gauge.Set(count);
    shown_responses_.push_back(&gauge);
  };
  add("old", "all", shown.samples.old_version.responses);
  add("old", "bad", shown.samples.old_version.bad);
  add("new", "all", shown.samples.new_version.responses);
  add("new", "bad", shown.samples.new_version.bad);
}

std::string gateway_metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace wist
