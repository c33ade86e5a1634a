#include "scenarios/process_group.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace wist::scenarios {

process_group::~process_group() {
  for (auto& [name, child] : processes_) {
    if (!child.ended)
      kill(child.pid, SIGKILL);
  }
  for (auto& [name, child] : processes_)
    Reap(child, true);
}

void process_group::Start(
    const std::string& name,
    const std::vector<std::string>& command,
    const std::map<std::string, std::string>& environment) {
  std::vector<char*> arguments;
  for (const std::string& argument : command)
    arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  const std::string log = LogPath(name);
  const pid_t pid = fork();
  if (pid < 0)
    throw std::runtime_error("fork failed");
  if (pid == 0) {
    const int file = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(file, STDERR_FILENO);
    dup2(file, STDOUT_FILENO);
    // Sockets of the parent would otherwise stay open with the child.
    closefrom(STDERR_FILENO + 1);
    for (const auto& [variable, value] : environment)
      setenv(variable.c_str(), value.c_str(), 1);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  processes_[name] = {pid, false, -1};
}

void process_group::Signal(const std::string& name, int signal) {
  process& child = processes_.at(name);
  if (!child.ended)
    kill(child.pid, signal);
  if (signal == SIGKILL)
    Reap(child, true);
}

int process_group::ExitCode(const std::string& name) {
  process& child = processes_.at(name);
  Reap(child, false);
  return child.exit_code;
}

void process_group::Reap(process& child, bool wait) {
  if (child.ended)
    return;
  int status = 0;
  if (waitpid(child.pid, &status, wait ? 0 : WNOHANG) != child.pid)
    return;
  child.ended = true;
  child.exit_code =
      WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string process_group::LogPath(const std::string& name) const {
  return log_directory_ + "/" + name + ".log";
}

std::vector<std::string> process_group::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, child] : processes_)
    names.push_back(name);
  return names;
}

}  // namespace wist::scenarios
