#include <signal.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>

#include "scenarios/runner.h"

namespace po = boost::program_options;

namespace {

constexpr int kFirstPort = 20000;
constexpr int kPortsPerScenario = 100;

std::vector<std::string> ListScenarios(const std::string& directory) {
  std::vector<std::string> names;
  for (const auto& file : std::filesystem::directory_iterator(directory)) {
    if (file.path().extension() == ".lua" && file.path().stem() != "library")
      names.push_back(file.path().stem());
  }
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  std::string directory = "scenarios";
  std::string build = "build";
  std::string name = "all";
  std::vector<std::string> known_red;
  int seed = 1;
  int port = kFirstPort;
  po::options_description options("runs scenarios against real processes");
  auto add = options.add_options();
  add("help", "print this text");
  add("directory", po::value(&directory), "directory of the scenario scripts");
  add("build", po::value(&build), "build directory");
  add("seed", po::value(&seed), "random seed");
  add("known-red", po::value(&known_red),
      "scenario listed in KNOWN-RED.txt, whose failure is only printed");
  add("first-port", po::value(&port), "first loopback port to use");
  add("name", po::value(&name), "name of a scenario, or all");
  po::positional_options_description positional;
  positional.add("name", 1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv)
                .options(options)
                .positional(positional)
                .run(),
            values);
  po::notify(values);
  if (values.count("help")) {
    std::cout << options;
    return 0;
  }
  const auto names =
      name == "all" ? ListScenarios(directory) : std::vector<std::string>{name};
  int passed = 0;
  int known = 0;
  for (const std::string& scenario : names) {
    const std::string failure =
        wist::scenarios::RunScenario(directory, build, scenario, seed, port);
    port += kPortsPerScenario;
    std::cout << scenario << ": " << (failure.empty() ? "passed" : failure)
              << std::endl;
    passed += failure.empty() ? 1 : 0;
    if (!failure.empty() && std::find(known_red.begin(), known_red.end(),
                                      scenario) != known_red.end()) {
      std::cout << scenario << " is listed in KNOWN-RED.txt" << std::endl;
      ++known;
    }
  }
  const int failed = static_cast<int>(names.size()) - passed - known;
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
