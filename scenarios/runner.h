#ifndef SCENARIOS_RUNNER_H_
#define SCENARIOS_RUNNER_H_

#include <string>

namespace wist::scenarios {

// Runs one scenario script with its own processes and log directory. Returns an
// empty string if it passed, else a message that says what failed.
std::string RunScenario(const std::string& directory,
                        const std::string& build_directory,
                        const std::string& name,
                        int seed,
                        int first_port);

}  // namespace wist::scenarios

#endif  // SCENARIOS_RUNNER_H_
