#include <boost/program_options.hpp>
#include <iostream>

#include "bench/policy/fleet.h"
#include "stand_ins/common/option_parsing.h"

namespace po = boost::program_options;

int main(int argc, char** argv) {
  using namespace wist::bench;
  run_settings settings;
  po::options_description options(
      "Compares admission policies in a simulation on a virtual clock");
  auto add = options.add_options();
  add("help", "print this text");
  add("deployment", po::value(&settings.deployment), "korrigan or guild");
  add("policy", po::value(&settings.policy),
      "forecast, round_robin, least_outstanding or two_choices");
  add("event", po::value(&settings.event),
      "event during the run: none, domain_out_return, engine_deaths, "
      "hot_prefix, report_lag, warm_turns_cold, large_workspace_surge, "
      "long_tail_lengths, kv_outage or partition");
  add("seed", po::value(&settings.seed), "seed of the random numbers");
  add("load", po::value(&settings.load),
      "arrival rate as a fraction of the engine capacity");
  add("seconds", po::value(&settings.seconds),
      "simulated time after the warm-up");
  add("risk-deviate", po::value(&settings.admission.risk_z_score),
      "safety margin of the memory forecast in standard deviations");
  std::int64_t tally_interval_ms = settings.tally_interval.count();
  add("tally-interval-ms", po::value(&tally_interval_ms),
      "interval between exchanges of tallies");
  add("max-running", po::value(&settings.admission.max_running_per_target),
      "maximum running generations per target, 0 for no limit");
  try {
    if (!wist::stand_ins::ParseOptions(argc, argv, options))
      return 0;
    settings.tally_interval = wist::milliseconds(tally_interval_ms);
    nlohmann::json result = ToJson(SimulateFleet(settings));
    result["deployment"] = settings.deployment;
    result["policy"] = settings.policy;
    result["event"] = settings.event;
    result["seed"] = settings.seed;
    result["load"] = settings.load;
    std::cout << result.dump() << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "policy: " << error.what() << "\n";
    return 2;
  }
}
