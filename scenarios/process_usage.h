#ifndef SCENARIOS_PROCESS_USAGE_H_
#define SCENARIOS_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>

namespace wist::scenarios {

// A number from /proc/PID/status, such as VmRSS in KiB; nullopt if the process
// has ended.
std::optional<double> StatusValue(pid_t process, const std::string& field);

// Number of open file descriptors of the process.
std::size_t CountDescriptors(pid_t process);

// Bytes in the kernel's receive queues of the process: those of its TCP
// sockets, and those of connections to its listening ports that it has not
// accepted yet.
std::size_t ReceiveQueueBytes(pid_t process);

}  // namespace wist::scenarios

#endif  // SCENARIOS_PROCESS_USAGE_H_
