#include "bench/policy/workload.h"

#include <algorithm>
#include <cmath>

namespace wist::bench {
namespace {

constexpr std::int64_t kMaxOutput = 8192;
constexpr double kMedianPrompt = 400;
constexpr double kPromptDeviation = 0.6;
constexpr std::int64_t kMaxPrompt = 4000;
constexpr double kPrefixPart = 0.5;
constexpr int kPrefixesAWorkspace = 8;
constexpr std::int64_t kPrefixTokens = 256;

double LogNormalMean(double median, double deviation) {
  return median * std::exp(deviation * deviation / 2);
}

double LogNormalSquare(double median, double deviation) {
  return median * median * std::exp(2 * deviation * deviation);
}

}  // namespace

workload::workload(std::vector<workspace_load> workspaces,
                   std::uint64_t seed,
                   double hot_prefix_part)
    : workspaces_(std::move(workspaces)),
      random_(seed),
      hot_prefix_part_(hot_prefix_part) {}

arrival workload::Draw() {
  std::vector<double> weights;
  for (const workspace_load& workspace : workspaces_)
    weights.push_back(workspace.weight);
  arrival drawn;
  drawn.workspace = std::discrete_distribution<std::size_t>(
      weights.begin(), weights.end())(random_);
  const workspace_load& own = workspaces_[drawn.workspace];
  std::lognormal_distribution<double> outputs(std::log(own.median_output),
                                              own.output_deviation);
  std::lognormal_distribution<double> prompts(std::log(kMedianPrompt),
                                              kPromptDeviation);
  drawn.output_tokens = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(outputs(random_)), 1, kMaxOutput);
  drawn.prompt_tokens = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(prompts(random_)), 8, kMaxPrompt);
  std::uniform_real_distribution<double> chance(0, 1);
  const double prefix_draw = chance(random_);
  const auto number = static_cast<int>(
      random_() % static_cast<std::uint64_t>(kPrefixesAWorkspace));
  if (prefix_draw < hot_prefix_part_)
    drawn.prefix = "hot";
  else if (prefix_draw < hot_prefix_part_ + kPrefixPart)
    drawn.prefix = own.name + "/" + std::to_string(number);
  if (!drawn.prefix.empty()) {
    drawn.prefix_tokens = kPrefixTokens;
    drawn.prompt_tokens += kPrefixTokens;
  }
  return drawn;
}

double workload::DrawInterval(double rate) {
  return std::exponential_distribution<double>(rate)(random_);
}

void workload::SetWeight(std::size_t workspace, double weight) {
  workspaces_[workspace].weight = weight;
}

double workload::MeanOutput() const {
  double sum = 0;
  double weights = 0;
  for (const workspace_load& own : workspaces_) {
    sum += own.weight * LogNormalMean(own.median_output, own.output_deviation);
    weights += own.weight;
  }
  return sum / weights;
}

double workload::MeanFootprint() const {
  double squares = 0;
  double weights = 0;
  for (const workspace_load& own : workspaces_) {
    squares +=
        own.weight * LogNormalSquare(own.median_output, own.output_deviation);
    weights += own.weight;
  }
  const double mean_prompt =
      LogNormalMean(kMedianPrompt, kPromptDeviation) +
      kPrefixTokens * std::min(1.0, kPrefixPart + hot_prefix_part_);
  return mean_prompt + squares / weights / (2 * MeanOutput());
}

std::vector<workspace_load> DeploymentWorkspaces(bool long_tail) {
  std::vector<workspace_load> workspaces;
  for (int i = 0; i < 10; ++i) {
    workspace_load own;
    own.name = "workspace-" + std::to_string(i);
    own.weight = i < 3 ? 5 : 1;
    own.share_permille = i < 3 ? 230 : 44;
    own.median_output = 120.0 + 60.0 * (i % 4);
    own.output_deviation = long_tail ? 1.5 : 0.9;
    own.priority = 1;
    workspaces.push_back(own);
  }
  return workspaces;
}

double EngineCapacity(const stand_ins::engine_settings& engine,
                      const workload& load) {
  const double running = std::min(
      static_cast<double>(engine.max_running),
      static_cast<double>(engine.memory_tokens) / load.MeanFootprint());
  const double requests_a_step = running / load.MeanOutput();
  const double prefill_a_step =
      requests_a_step * LogNormalMean(kMedianPrompt, kPromptDeviation);
  const double step_us =
      static_cast<double>(engine.step_base.count()) +
      running * static_cast<double>(engine.step_per_sequence.count()) +
      prefill_a_step *
          static_cast<double>(engine.step_per_prefill_token.count());
  return requests_a_step / step_us * 1e6;
}

}  // namespace wist::bench
