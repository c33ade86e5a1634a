#ifndef SCENARIOS_PROCESS_GROUP_H_
#define SCENARIOS_PROCESS_GROUP_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace wist::scenarios {

// The processes of one scenario. All of them end with it.
class process_group {
 public:
  explicit process_group(std::string log_directory)
      : log_directory_(std::move(log_directory)) {}
  ~process_group();
  process_group(const process_group&) = delete;
  process_group& operator=(const process_group&) = delete;

  // Starts a program; its standard error goes to NAME.log, added to what an
  // earlier process of that name wrote.
  void Start(const std::string& name, const std::vector<std::string>& command);

  // Sends a signal to a process by name.
  void Signal(const std::string& name, int signal);

  // Returns the exit code, or -1 while it runs, or 128 + signal.
  int ExitCode(const std::string& name);

  std::string LogPath(const std::string& name) const;
  std::vector<std::string> Names() const;

 private:
  struct process {
    pid_t pid = 0;
    bool ended = false;
    int exit_code = -1;
  };

  void Collect(process& child, bool wait);

  const std::string log_directory_;
  std::map<std::string, process> processes_;
};

}  // namespace wist::scenarios

#endif  // SCENARIOS_PROCESS_GROUP_H_
