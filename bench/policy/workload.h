#ifndef BENCH_POLICY_WORKLOAD_H_
#define BENCH_POLICY_WORKLOAD_H_

#include <random>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "stand_ins/engine/engine_types.h"

namespace wist::bench {

// Distribution of the requests of one workspace.
struct workspace_load {
  std::string name;
  double weight = 1;  // Relative request rate.
  double median_output = 200;
  // Standard deviation of the logarithm of the output length.
  double output_log_deviation = 0.9;
  std::int32_t share_permille = 0;
  std::int32_t priority = 1;
};

// Randomly drawn parameters of one request.
struct request_parameters {
  std::size_t workspace = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  std::string prefix;
  std::int64_t prefix_tokens = 0;
};

// Draws random requests. The sequence depends on the seed only, so that all
// policies are compared on the same requests. A `hot_prefix_fraction` of the
// requests, over all workspaces, have the same prompt prefix.
class workload {
 public:
  workload(std::vector<workspace_load> workspaces,
           std::uint64_t seed,
           double hot_prefix_fraction);

  request_parameters DrawRequest();

  // Returns the seconds until the next request at a mean of `rate` requests per
  // second.
  double DrawInterval(double rate);

  const std::vector<workspace_load>& workspaces() const { return workspaces_; }
  void SetWeight(std::size_t workspace, double weight);

  // Returns the mean output length in tokens.
  double MeanOutputTokens() const;

  // Returns the memory in tokens that a running generation occupies, averaged
  // over its run time.
  double MeanMemoryTokens() const;

 private:
  std::vector<workspace_load> workspaces_;
  std::mt19937_64 random_;
  double hot_prefix_fraction_;
};

// Returns the workspaces of a deployment, of which three have most of the load.
// With `long_tail`, output lengths vary more.
std::vector<workspace_load> DeploymentWorkspaces(bool long_tail);

// Returns the requests per second that one engine sustains when its memory is
// fully used.
double EngineCapacity(const stand_ins::engine_settings& engine,
                      const workload& load);

}  // namespace wist::bench

#endif  // BENCH_POLICY_WORKLOAD_H_
