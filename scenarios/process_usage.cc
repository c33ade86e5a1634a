#include "scenarios/process_usage.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace wist::scenarios {
namespace {

namespace fs = std::filesystem;

constexpr char kListening[] = "0A";
constexpr char kNotAccepted[] = "0";

struct tcp_row {
  std::string local_port;
  std::string state;
  std::size_t receive_bytes = 0;
  std::string inode;
};

// Parses the rows of /proc/net/tcp: number, local and remote address, state,
// send and receive queue, timer, retransmissions, user, timeout, inode.
std::vector<tcp_row> ReadTcpRows() {
  std::vector<tcp_row> rows;
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);  // Names of the columns.
  while (std::getline(file, line)) {
    std::istringstream columns(line);
    std::string number, local, remote, queues, timer, retries, user, timeout;
    tcp_row row;
    if (!(columns >> number >> local >> remote >> row.state >> queues >>
          timer >> retries >> user >> timeout >> row.inode))
      continue;
    constexpr int kHexadecimal = 16;
    row.local_port = local.substr(local.find(':') + 1);
    row.receive_bytes =
        std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHexadecimal);
    rows.push_back(row);
  }
  return rows;
}

std::set<std::string> SocketInodes(pid_t process) {
  std::set<std::string> inodes;
  std::error_code error;
  constexpr std::string_view kSocket = "socket:[";
  for (const auto& entry : fs::directory_iterator(
           "/proc/" + std::to_string(process) + "/fd", error)) {
    const std::string target = fs::read_symlink(entry.path(), error).string();
    if (target.starts_with(kSocket))
      inodes.insert(
          target.substr(kSocket.size(), target.size() - kSocket.size() - 1));
  }
  return inodes;
}

}  // namespace

std::optional<double> StatusValue(pid_t process, const std::string& field) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field + ":"))
      return std::stod(line.substr(field.size() + 1));
  }
  return std::nullopt;
}

std::size_t CountDescriptors(pid_t process) {
  std::error_code error;
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : fs::directory_iterator(
           "/proc/" + std::to_string(process) + "/fd", error))
    ++count;
  return count;
}

std::size_t ReceiveQueueBytes(pid_t process) {
  const std::set<std::string> inodes = SocketInodes(process);
  const std::vector<tcp_row> rows = ReadTcpRows();
  std::set<std::string> ports;
  for (const tcp_row& row : rows) {
    if (row.state == kListening && inodes.contains(row.inode))
      ports.insert(row.local_port);
  }
  std::size_t bytes = 0;
  for (const tcp_row& row : rows) {
    // The queue of a listening socket counts connections.
    if (row.state == kListening)
      continue;
    if (inodes.contains(row.inode) ||
        (row.inode == kNotAccepted && ports.contains(row.local_port)))
      bytes += row.receive_bytes;
  }
  return bytes;
}

}  // namespace wist::scenarios
