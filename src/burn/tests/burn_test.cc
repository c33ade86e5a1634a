#include <catch2/catch.hpp>

#include "burn/burn_module.h"
#include "metrics/metrics_module.h"

namespace wist {
namespace {

const metric_labels kLabels{"briefs", "salon", "rennes"};

std::vector<service_spec> Services() {
  service_spec service;
  service.id = service_id("briefs");
  return {service};
}

burn_sample Sample(const std::string& text) {
  burn_sample sample;
  AddMetrics(text, Services(), sample);
  return sample;
}

}  // namespace

TEST_CASE("burn is the missed fraction divided by the allowed fraction") {
  const auto metrics = MakePrometheusMetrics();
  for (int i = 0; i < 90; ++i)
    metrics->OnTokenGap(kLabels, milliseconds(20));
  for (int i = 0; i < 10; ++i)
    metrics->OnTokenGap(kLabels, milliseconds(60));
  const auto rows =
      BurnRows({}, Sample(metrics->ToPrometheusText()), Services(), 60);
  REQUIRE(rows.size() == 1);
  // 10 % of the gaps were late, and the objective allows 5 %.
  CHECK(rows[0].between_tokens_burn == Approx(2.0));
  CHECK(rows[0].subject.domain == "rennes");
}

TEST_CASE("a window counts only the observations within it") {
  const auto metrics = MakePrometheusMetrics();
  metrics->OnTokenGap(kLabels, milliseconds(600));
  const burn_sample before = Sample(metrics->ToPrometheusText());
  metrics->OnTokenGap(kLabels, milliseconds(10));
  const auto rows =
      BurnRows(before, Sample(metrics->ToPrometheusText()), Services(), 60);
  CHECK(rows[0].between_tokens_burn == 0);
  CHECK(rows[0].observations == 1);
}

TEST_CASE("stalls and refusals are reported") {
  const auto metrics = MakePrometheusMetrics();
  metrics->OnRequest(kLabels);
  metrics->OnRequest(kLabels);
  metrics->OnRefusal(kLabels, "overloaded", "not_run");
  metrics->OnTokenGap(kLabels, milliseconds(1200));
  const auto rows =
      BurnRows({}, Sample(metrics->ToPrometheusText()), Services(), 60);
  CHECK(rows[0].refusal_part == Approx(0.5));
  CHECK(rows[0].stall_seconds == Approx(1.0));
  CHECK(BurnHtml(rows).find("<svg") != std::string::npos);
  CHECK(BurnTable(rows).find("salon") != std::string::npos);
}

}  // namespace wist
