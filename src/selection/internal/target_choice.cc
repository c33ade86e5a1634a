#include "selection/target_choice.h"

#include <algorithm>
#include <numeric>

namespace wist {
namespace {

// Below this, candidates whose costs differ little would not be alternated.
constexpr double kMinUnseenStarts = 0.1;

// A target without a cost per run would receive all requests.
constexpr double kMinCostPerRun = 1e-6;

double CostPerRun(const choice_candidate& candidate) {
  return std::max(candidate.cost_per_run, kMinCostPerRun);
}

using candidate_order = std::vector<std::size_t>;

void SortByCost(const std::vector<choice_candidate>& candidates,
                candidate_order& order) {
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return candidates[a].cost < candidates[b].cost;
  });
}

// Returns the cost that the cheapest candidates have in common after they have
// received `starts` requests: solves sum(max(0, level - cost) / cost_per_run) =
// starts. `order` contains the candidates by rising cost.
double CommonCost(const std::vector<choice_candidate>& candidates,
                  const candidate_order& order,
                  double starts) {
  double level = 0;
  double weight_sum = 0;
  double weighted_costs = 0;
  for (const std::size_t index : order) {
    const choice_candidate& candidate = candidates[index];
    if (weight_sum > 0 && candidate.cost >= level)
      break;
    const double weight = 1 / CostPerRun(candidate);
    weight_sum += weight;
    weighted_costs += weight * candidate.cost;
    level = (starts + weighted_costs) / weight_sum;
  }
  return level;
}

// Raises the costs of the candidates of other domains by what the instances
// there send to them. Otherwise the cheapest of them would attract requests of
// all domains.
void AddStartsOfOtherDomains(std::vector<choice_candidate>& candidates,
                             double starts) {
  candidate_order far;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].is_near)
      far.push_back(i);
  }
  SortByCost(candidates, far);
  const double level = CommonCost(candidates, far, starts);
  for (const std::size_t index : far)
    candidates[index].cost = std::max(candidates[index].cost, level);
}

}  // namespace

std::size_t ChooseByExpectedStarts(
    const std::vector<choice_candidate>& observed,
    const unseen_starts& unseen,
    std::minstd_rand& random) {
  std::vector<choice_candidate> candidates = observed;
  AddStartsOfOtherDomains(candidates, unseen.far);
  candidate_order order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  SortByCost(candidates, order);
  const double starts = std::max(unseen.near, kMinUnseenStarts);
  const double level = CommonCost(candidates, order, starts);
  double point = std::uniform_real_distribution<double>(0, starts)(random);
  for (const std::size_t index : order) {
    const choice_candidate& candidate = candidates[index];
    point -= (level - candidate.cost) / CostPerRun(candidate);
    if (point <= 0)
      return index;
    // Rounding may leave a rest after the last candidate below the level.
    if (candidate.cost >= level)
      break;
  }
  return order.front();
}

}  // namespace wist
