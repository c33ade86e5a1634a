#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>

#include "apps/wistctl/audit_command.h"
#include "apps/wistctl/configuration_commands.h"
#include "apps/wistctl/control_command.h"
#include "apps/wistctl/order_command.h"
#include "apps/wistctl/status_command.h"
#include "configuration/configuration_text.h"
#include "operator_api/operator_types.h"
#include "store/store_types.h"

namespace wist {
namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

using command_handler = int (*)(const control_command&);

struct named_command {
  const char* usage;
  command_handler run;
};

const std::map<std::string, named_command>& Commands() {
  static const std::map<std::string, named_command> commands = {
      {"plan",
       {"plan FILE: validate FILE and print the change and its digest",
        RunPlan}},
      {"apply",
       {"apply FILE --digest D: apply the plan with digest D", RunApply}},
      {"show", {"show: print the configuration in force", RunShow}},
      {"history", {"history: list the accepted changes", RunHistory}},
      {"status",
       {"status HOST:PORT...: print the status of instances", RunStatus}},
      {"domain",
       {"domain out|in NAME: take a failure domain out or back in", RunDomain}},
      {"target", {"target leave|return NAME", RunTarget}},
      {"order",
       {"order TARGET load-model M V | load-adapter A | change-role R",
        RunOrder}},
      {"burn",
       {"burn --instances HOST:PORT,... : print the error budget burn",
        RunBurn}},
      {"audit", {"audit LOG...: check the logs of all instances", RunAudit}},
  };
  return commands;
}

po::options_description Options() {
  po::options_description options("options");
  auto add = options.add_options();
  add("help", "print this text and exit");
  add("version", "print the version and exit");
  add("platform", po::value<std::string>(),
      "the platform's service, host:port (or WISTERIATALLY_PLATFORM)");
  add("author", po::value<std::string>(),
      "who makes the change (or WISTERIATALLY_AUTHOR, or USER)");
  add("digest", po::value<std::string>(), "digest that plan printed");
  add("instances", po::value<std::string>(), "host:port[,host:port...]");
  add("windows", po::value<std::string>()->default_value("5,60"),
      "burn windows in seconds; burn runs for the longest one");
  add("format", po::value<std::string>()->default_value("table"),
      "table, json or html");
  add("grace-ms", po::value<std::int64_t>()->default_value(3000),
      "milliseconds during which a domain that was taken out may still get "
      "requests");
  return options;
}

void PrintHelp() {
  fmt::print("wistctl, the operators' tool.\n\ncommands:\n");
  for (const auto& [name, command] : Commands())
    fmt::print("  {}\n", command.usage);
  std::cout << "\n" << Options();
}

std::string FlagOrEnvironment(const po::variables_map& values,
                              const std::string& flag,
                              const char* variable) {
  if (values.count(flag))
    return values[flag].as<std::string>();
  const char* environment_value = std::getenv(variable);
  return environment_value ? environment_value : "";
}

control_command ToCommand(const po::variables_map& values) {
  control_command command;
  command.arguments = values["arguments"].as<std::vector<std::string>>();
  command.name = command.arguments.front();
  command.arguments.erase(command.arguments.begin());
  command.platform =
      FlagOrEnvironment(values, "platform", "WISTERIATALLY_PLATFORM");
  command.author = FlagOrEnvironment(values, "author", "WISTERIATALLY_AUTHOR");
  if (command.author.empty())
    command.author = FlagOrEnvironment(values, "author", "USER");
  if (values.count("digest"))
    command.digest = values["digest"].as<std::string>();
  if (values.count("instances"))
    command.instances = values["instances"].as<std::string>();
  command.windows = values["windows"].as<std::string>();
  command.format = values["format"].as<std::string>();
  command.grace_ms = values["grace-ms"].as<std::int64_t>();
  return command;
}

int Run(int argc, char** argv) {
  po::options_description all = Options();
  all.add_options()("arguments", po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("arguments", -1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv)
                .options(all)
                .positional(positional)
                .run(),
            values);
  if (values.count("version")) {
    fmt::print("wistctl {}\n", WIST_VERSION);
    return kExitOk;
  }
  if (values.count("help") || !values.count("arguments")) {
    PrintHelp();
    return values.count("help") ? kExitOk : kExitUsage;
  }
  const control_command command = ToCommand(values);
  const auto found = Commands().find(command.name);
  if (found == Commands().end())
    throw usage_error("unknown command '" + command.name + "'; see --help");
  return found->second.run(command);
}

}  // namespace
}  // namespace wist

int main(int argc, char** argv) {
  using namespace wist;
  try {
    return Run(argc, argv);
  } catch (const configuration_refused& refused) {
    for (const configuration_error& error : refused.errors())
      fmt::print(stderr, "wistctl: {}: {}\n", error.path, error.message);
    return kExitFailed;
  } catch (const usage_error& error) {
    fmt::print(stderr, "wistctl: {}\n", error.what());
    return kExitUsage;
  } catch (const po::error& error) {
    fmt::print(stderr, "wistctl: {}\n", error.what());
    return kExitUsage;
  } catch (const std::exception& error) {
    fmt::print(stderr, "wistctl: {}\n", error.what());
    return kExitFailed;
  }
}
