#include "scenarios/raw_connections.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace wist::scenarios {
namespace {

// Enough for the head and the body of a refusal.
constexpr std::size_t kMaxReceivedBytes = 4096;

constexpr milliseconds kPollTimeout{10};

}  // namespace

raw_connections::~raw_connections() {
  for (connection& current : connections_)
    End(current, "closed");
}

std::size_t raw_connections::Open(std::uint16_t port, bool reads) {
  const int handle =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (handle < 0)
    throw std::runtime_error("no free descriptor for a connection");
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  connection opened;
  opened.socket = handle;
  opened.reads = reads;
  if (connect(handle, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS)
    End(opened, "reset");
  connections_.push_back(std::move(opened));
  return connections_.size() - 1;
}

void raw_connections::Send(std::size_t number,
                           std::string text,
                           std::size_t repetitions) {
  connection& current = connections_.at(number);
  if (current.socket >= 0 && !text.empty() && repetitions > 0)
    current.queue.push_back({std::move(text), repetitions});
}

void raw_connections::Pump(milliseconds duration) {
  const auto deadline = std::chrono::steady_clock::now() + duration;
  do {
    std::vector<pollfd> polled;
    std::vector<connection*> open;
    for (connection& current : connections_) {
      if (current.socket < 0)
        continue;
      const bool sends = !current.queue.empty();
      polled.push_back({current.socket,
                        static_cast<short>((current.reads ? POLLIN : 0) |
                                           (sends ? POLLOUT : 0)),
                        0});
      open.push_back(&current);
    }
    poll(polled.data(), polled.size(), static_cast<int>(kPollTimeout.count()));
    for (std::size_t i = 0; i < polled.size(); ++i) {
      const bool is_readable =
          open[i]->reads && (polled[i].revents & POLLIN) != 0;
      if (is_readable || (polled[i].revents & (POLLHUP | POLLERR)) != 0)
        Receive(*open[i]);
      if ((polled[i].revents & POLLOUT) != 0)
        SendQueued(*open[i]);
    }
  } while (std::chrono::steady_clock::now() < deadline);
}

raw_connection_state raw_connections::State(std::size_t number) const {
  const connection& current = connections_.at(number);
  raw_connection_state state{0, current.received, current.end};
  for (const repeated_text& queued : current.queue)
    state.unsent_bytes +=
        queued.text.size() * queued.repetitions - queued.sent_bytes;
  return state;
}

void raw_connections::Close(std::size_t number) {
  End(connections_.at(number), "closed");
}

void raw_connections::SendQueued(connection& current) {
  while (current.socket >= 0 && !current.queue.empty()) {
    repeated_text& queued = current.queue.front();
    const ssize_t size =
        send(current.socket, queued.text.data() + queued.sent_bytes,
             queued.text.size() - queued.sent_bytes, MSG_NOSIGNAL);
    if (size < 0) {
      if (errno != EAGAIN && errno != EINTR)
        End(current, "reset");
      return;
    }
    queued.sent_bytes += static_cast<std::size_t>(size);
    if (queued.sent_bytes < queued.text.size())
      continue;
    queued.sent_bytes = 0;
    if (--queued.repetitions == 0)
      current.queue.pop_front();
  }
}

void raw_connections::Receive(connection& current) {
  std::array<char, 16'384> buffer{};
  while (current.socket >= 0) {
    const ssize_t size = recv(current.socket, buffer.data(), buffer.size(), 0);
    if (size == 0)
      return End(current, "closed");
    if (size < 0) {
      if (errno != EAGAIN && errno != EINTR)
        End(current, "reset");
      return;
    }
    const std::size_t room = kMaxReceivedBytes - current.received.size();
    current.received.append(buffer.data(),
                            std::min(room, static_cast<std::size_t>(size)));
  }
}

void raw_connections::End(connection& current, const std::string& end) {
  if (current.socket < 0)
    return;
  close(std::exchange(current.socket, -1));
  current.queue.clear();
  current.end = end;
}

}  // namespace wist::scenarios
