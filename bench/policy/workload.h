#ifndef BENCH_POLICY_WORKLOAD_H_
#define BENCH_POLICY_WORKLOAD_H_

#include <random>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "stand_ins/engine/engine_types.h"

namespace wist::bench {

// Requests of one workspace.
struct workspace_load {
  std::string name;
  double weight = 1;
  double median_output = 200;
  double output_deviation = 0.9;  // Of the logarithm.
  std::int32_t share_permille = 0;
  std::int32_t priority = 1;
};

// One request of the workload.
struct arrival {
  std::size_t workspace = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  std::string prefix;
  std::int64_t prefix_tokens = 0;
};

// Draws requests; equal seeds draw equal requests whatever the policy.
class workload {
 public:
  workload(std::vector<workspace_load> workspaces,
           std::uint64_t seed,
           double hot_prefix_part);

  arrival Draw();

  // Seconds until the next request at `rate` requests a second.
  double DrawInterval(double rate);

  const std::vector<workspace_load>& workspaces() const { return workspaces_; }
  void SetWeight(std::size_t workspace, double weight);

  double MeanOutput() const;

  // Mean memory that a running generation holds, over its time.
  double MeanFootprint() const;

 private:
  std::vector<workspace_load> workspaces_;
  std::mt19937_64 random_;
  double hot_prefix_part_;
};

// The workspaces of a deployment, a few of them large.
std::vector<workspace_load> DeploymentWorkspaces(bool long_tail);

// Requests a second that one engine sustains with its memory in full use.
double EngineCapacity(const stand_ins::engine_settings& engine,
                      const workload& load);

}  // namespace wist::bench

#endif  // BENCH_POLICY_WORKLOAD_H_
