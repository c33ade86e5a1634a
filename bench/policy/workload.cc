#include "bench/policy/workload.h"

#include <algorithm>
#include <cmath>

namespace wist::bench {
namespace {

constexpr std::int64_t kMaxOutputTokens = 8192;
constexpr double kMedianPromptTokens = 400;
constexpr double kPromptLogDeviation = 0.6;
constexpr std::int64_t kMaxPromptTokens = 4000;
constexpr double kPrefixFraction = 0.5;
constexpr int kPrefixesPerWorkspace = 8;
constexpr std::int64_t kPrefixTokens = 256;

double LogNormalMean(double median, double deviation) {
  return median * std::exp(deviation * deviation / 2);
}

double LogNormalSecondMoment(double median, double deviation) {
  return median * median * std::exp(2 * deviation * deviation);
}

}  // namespace

workload::workload(std::vector<workspace_load> workspaces,
                   std::uint64_t seed,
                   double hot_prefix_fraction)
    : workspaces_(std::move(workspaces)),
      random_(seed),
      hot_prefix_fraction_(hot_prefix_fraction) {}

request_parameters workload::DrawRequest() {
  std::vector<double> weights;
  for (const workspace_load& workspace : workspaces_)
    weights.push_back(workspace.weight);
  request_parameters request;
  request.workspace = std::discrete_distribution<std::size_t>(
      weights.begin(), weights.end())(random_);
  const workspace_load& workspace = workspaces_[request.workspace];
  std::lognormal_distribution<double> output_distribution(
      std::log(workspace.median_output), workspace.output_log_deviation);
  std::lognormal_distribution<double> prompt_distribution(
      std::log(kMedianPromptTokens), kPromptLogDeviation);
  request.output_tokens = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(output_distribution(random_)), 1,
      kMaxOutputTokens);
  request.prompt_tokens = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(prompt_distribution(random_)), 8,
      kMaxPromptTokens);
  std::uniform_real_distribution<double> unit_distribution(0, 1);
  const double prefix_draw = unit_distribution(random_);
  const auto prefix_number = static_cast<int>(
      random_() % static_cast<std::uint64_t>(kPrefixesPerWorkspace));
  if (prefix_draw < hot_prefix_fraction_)
    request.prefix = "hot";
  else if (prefix_draw < hot_prefix_fraction_ + kPrefixFraction)
    request.prefix = workspace.name + "/" + std::to_string(prefix_number);
  if (!request.prefix.empty()) {
    request.prefix_tokens = kPrefixTokens;
    request.prompt_tokens += kPrefixTokens;
  }
  return request;
}

double workload::DrawInterval(double rate) {
  return std::exponential_distribution<double>(rate)(random_);
}

void workload::SetWeight(std::size_t workspace, double weight) {
  workspaces_[workspace].weight = weight;
}

double workload::MeanOutputTokens() const {
  double sum = 0;
  double weights = 0;
  for (const workspace_load& workspace : workspaces_) {
    sum += workspace.weight * LogNormalMean(workspace.median_output,
                                            workspace.output_log_deviation);
    weights += workspace.weight;
  }
  return sum / weights;
}

double workload::MeanMemoryTokens() const {
  double second_moments = 0;
  double weights = 0;
  for (const workspace_load& workspace : workspaces_) {
    second_moments += workspace.weight *
                      LogNormalSecondMoment(workspace.median_output,
                                            workspace.output_log_deviation);
    weights += workspace.weight;
  }
  const double mean_prompt =
      LogNormalMean(kMedianPromptTokens, kPromptLogDeviation) +
      kPrefixTokens * std::min(1.0, kPrefixFraction + hot_prefix_fraction_);
  return mean_prompt + second_moments / weights / (2 * MeanOutputTokens());
}

std::vector<workspace_load> DeploymentWorkspaces(bool long_tail) {
  std::vector<workspace_load> workspaces;
  for (int i = 0; i < 10; ++i) {
    workspace_load workspace;
    workspace.name = "workspace-" + std::to_string(i);
    workspace.weight = i < 3 ? 5 : 1;
    workspace.share_permille = i < 3 ? 230 : 44;
    workspace.median_output = 120.0 + 60.0 * (i % 4);
    workspace.output_log_deviation = long_tail ? 1.5 : 0.9;
    workspace.priority = 1;
    workspaces.push_back(workspace);
  }
  return workspaces;
}

double EngineCapacity(const stand_ins::engine_settings& engine,
                      const workload& load) {
  const double running = std::min(
      static_cast<double>(engine.max_running),
      static_cast<double>(engine.memory_tokens) / load.MeanMemoryTokens());
  const double requests_per_step = running / load.MeanOutputTokens();
  const double prefill_tokens_per_step =
      requests_per_step *
      LogNormalMean(kMedianPromptTokens, kPromptLogDeviation);
  const double step_us =
      static_cast<double>(engine.step_base.count()) +
      running * static_cast<double>(engine.step_per_sequence.count()) +
      prefill_tokens_per_step *
          static_cast<double>(engine.step_per_prefill_token.count());
  return requests_per_step / step_us * 1e6;
}

}  // namespace wist::bench
