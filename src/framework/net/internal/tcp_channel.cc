#include "framework/net/internal/tcp_channel.h"

#include <netinet/tcp.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace wist {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Unacknowledged bytes end a channel after this time, in milliseconds: below
// the shortest time within which callers expect a lost link to be noticed.
constexpr int kUnackedLimitMs = 3000;

// Keep-alive probes of idle channels, in seconds: a silent peer is found in
// kProbeIdleS + kProbeCount * kProbePauseS.
constexpr int kProbeIdleS = 1;
constexpr int kProbePauseS = 1;
constexpr int kProbeCount = 2;

// How long a closed channel takes the other side's last bytes, so that its
// unread bytes don't turn the close into a reset.
constexpr std::chrono::milliseconds kLingerLimit{1000};

// One buffer serves all channels of a thread: reads are handled at once.
constexpr std::size_t kReadBytes = 16'384;
thread_local std::array<char, kReadBytes> read_buffer;

void SetOption(int socket, int level, int name, int value) {
  // An option that can't be set leaves the kernel's slower default in force.
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

tcp_channel::tcp_channel(tcp::socket socket)
    : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

void tcp_channel::SetOptions() {
  const int handle = socket_.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleS);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbePauseS);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnackedLimitMs);
}

void tcp_channel::Connect(const std::optional<tcp::endpoint>& endpoint,
                          asio::steady_timer::duration limit,
                          channel_callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  boost::system::error_code error;
  if (endpoint)
    socket_.open(endpoint->protocol(), error);
  if (!endpoint || error) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->End(channel_end::connect_failed);
    });
    return;
  }
  SetOptions();
  timer_.expires_after(limit);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled && self->state_ == state::connecting)
          self->End(channel_end::connect_failed);
      });
  socket_.async_connect(
      *endpoint,
      [self = shared_from_this()](const boost::system::error_code& failed) {
        self->OnConnected(failed);
      });
}

void tcp_channel::OnConnected(const boost::system::error_code& error) {
  if (state_ != state::connecting && state_ != state::closing)
    return;
  timer_.cancel();
  if (error)
    return End(channel_end::connect_failed);
  if (state_ == state::connecting)
    state_ = state::open;
  Flush();
  Read();
}

void tcp_channel::Open() {
  SetOptions();
  state_ = state::open;
}

void tcp_channel::SetCallbacks(channel_callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  if (state_ == state::open && !reading_)
    Read();
}

void tcp_channel::Read() {
  reading_ = true;
  // Waits for bytes first: no buffer is held by a channel that is idle.
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (self->state_ == state::ended)
          return;
        boost::system::error_code failed = error;
        std::size_t size = 0;
        if (!failed) {
          size = self->socket_.read_some(asio::buffer(read_buffer), failed);
        }
        self->OnRead(failed, size);
      });
}

void tcp_channel::OnRead(const boost::system::error_code& error,
                         std::size_t size) {
  if (error == asio::error::would_block || error == asio::error::try_again)
    return Read();
  if (error == asio::error::eof)
    return End(channel_end::closed);
  if (error)
    return End(channel_end::reset);
  if (state_ == state::open && callbacks_.on_data) {
    // A copy: the callback may replace itself.
    const auto on_data = callbacks_.on_data;
    on_data({read_buffer.data(), size});
  }
  if (state_ != state::ended)
    Read();
}

void tcp_channel::Write(std::string bytes) {
  if (state_ == state::closing || state_ == state::ended || bytes.empty())
    return;
  unsent_bytes_ += bytes.size();
  if (queued_.empty())
    queued_ = std::move(bytes);
  else
    queued_ += bytes;
  Flush();
}

void tcp_channel::Flush() {
  if (write_pending_ || state_ == state::connecting || state_ == state::ended)
    return;
  if (queued_.empty()) {
    if (state_ == state::closing && !lingering_)
      BeginLinger();
    return;
  }
  // Most writes fit into the kernel's buffer at once.
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  const std::size_t size = socket_.write_some(asio::buffer(queued_), error);
  if (error && error != asio::error::would_block &&
      error != asio::error::try_again) {
    // Reported from the loop: the caller of Write doesn't expect a callback.
    write_pending_ = true;
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->End(channel_end::reset); });
    return;
  }
  if (size > 0)
    sent_any_ = true;
  unsent_bytes_ -= size;
  queued_.erase(0, size);
  if (queued_.empty()) {
    if (state_ == state::closing && !lingering_)
      BeginLinger();
    return;
  }
  write_pending_ = true;
  writing_ = std::move(queued_);
  queued_.clear();
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const boost::system::error_code& failed,
                                  std::size_t written) {
        self->OnWritten(failed, written);
      });
}

void tcp_channel::OnWritten(const boost::system::error_code& error,
                            std::size_t size) {
  write_pending_ = false;
  if (state_ == state::ended)
    return;
  if (size > 0)
    sent_any_ = true;
  unsent_bytes_ -= size;
  writing_.clear();
  if (error)
    return End(channel_end::reset);
  Flush();
}

void tcp_channel::Close() {
  if (state_ == state::ended || state_ == state::closing)
    return;
  if (state_ == state::connecting)
    return Abort();
  state_ = state::closing;
  callbacks_ = {};
  if (!reading_)
    Read();
  Flush();
}

void tcp_channel::BeginLinger() {
  lingering_ = true;
  boost::system::error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  timer_.expires_after(kLingerLimit);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled)
          self->CloseSocket();
      });
}

void tcp_channel::Abort() {
  callbacks_ = {};
  CloseSocket();
}

void tcp_channel::End(channel_end end) {
  if (state_ == state::ended)
    return;
  const auto on_end = std::move(callbacks_.on_end);
  callbacks_ = {};
  CloseSocket();
  if (on_end)
    on_end(end);
}

void tcp_channel::CloseSocket() {
  state_ = state::ended;
  timer_.cancel();
  boost::system::error_code error;
  socket_.close(error);
}

}  // namespace wist
