#ifndef SCENARIOS_PROCESS_GROUP_H_
#define SCENARIOS_PROCESS_GROUP_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace wist::scenarios {

// The child processes of one scenario. The destructor kills those that still
// run.
class process_group {
 public:
  explicit process_group(std::string log_directory)
      : log_directory_(std::move(log_directory)) {}
  ~process_group();
  process_group(const process_group&) = delete;
  process_group& operator=(const process_group&) = delete;

  // Starts a program with further environment variables. Its output is appended
  // to NAME.log, which may hold that of an earlier process of that name.
  void Start(const std::string& name,
             const std::vector<std::string>& command,
             const std::map<std::string, std::string>& environment = {});

  // Sends a signal to a process unless it has ended. For SIGKILL, waits until
  // the process has ended.
  void Signal(const std::string& name, int signal);

  // Returns the exit code, 128 + N if signal N ended the process, or -1 while
  // it runs.
  int ExitCode(const std::string& name);

  pid_t ProcessId(const std::string& name) const {
    return processes_.at(name).pid;
  }

  std::string LogPath(const std::string& name) const;
  std::vector<std::string> Names() const;

 private:
  struct process {
    pid_t pid = 0;
    bool ended = false;
    int exit_code = -1;
  };

  void Reap(process& child, bool wait);

  const std::string log_directory_;
  std::map<std::string, process> processes_;
};

}  // namespace wist::scenarios

#endif  // SCENARIOS_PROCESS_GROUP_H_
