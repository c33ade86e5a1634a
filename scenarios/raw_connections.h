#ifndef SCENARIOS_RAW_CONNECTIONS_H_
#define SCENARIOS_RAW_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "framework/base/time_types.h"

namespace wist::scenarios {

// What a connection has sent and received so far.
struct raw_connection_state {
  std::size_t unsent_bytes = 0;
  // The first bytes that were received, up to a limit.
  std::string received;
  // "closed" or "reset" once the remote end has ended the connection; empty
  // before that.
  std::string end;
};

// Loopback connections on which a script sends arbitrary bytes, such as a part
// of a request. They stay open until the script or the remote end closes them.
class raw_connections {
 public:
  raw_connections() = default;
  ~raw_connections();
  raw_connections(const raw_connections&) = delete;
  raw_connections& operator=(const raw_connections&) = delete;

  // Returns the number of the connection, counted from 0. One that does not
  // read leaves what it receives in the kernel's queues. Throws
  // std::runtime_error if there is no free descriptor.
  std::size_t Open(std::uint16_t port, bool reads);

  // Queues `text`, `repetitions` times.
  void Send(std::size_t number, std::string text, std::size_t repetitions);

  // Sends what is queued and receives what arrives, on all connections, for
  // `duration`.
  void Pump(milliseconds duration);

  raw_connection_state State(std::size_t number) const;
  void Close(std::size_t number);

 private:
  struct repeated_text {
    std::string text;
    std::size_t repetitions = 0;
    std::size_t sent_bytes = 0;  // Of the current repetition.
  };

  struct connection {
    int socket = -1;
    bool reads = true;
    std::deque<repeated_text> queue;
    std::string received;
    std::string end;
  };

  static void SendQueued(connection& current);
  static void Receive(connection& current);
  static void End(connection& current, const std::string& end);

  std::vector<connection> connections_;
};

}  // namespace wist::scenarios

#endif  // SCENARIOS_RAW_CONNECTIONS_H_
