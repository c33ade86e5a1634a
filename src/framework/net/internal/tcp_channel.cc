#include "framework/net/internal/tcp_channel.h"

#include <netinet/tcp.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace wist {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// A channel ends when sent bytes stay unacknowledged for this long. The value
// is below the shortest time within which callers expect a lost connection to
// be detected.
constexpr int kUnackedTimeoutMs = 3000;

// TCP keep-alive: an unresponsive remote end of an idle channel is detected
// after kProbeIdleS + kProbeCount * kProbeIntervalS seconds.
constexpr int kProbeIdleS = 1;
constexpr int kProbeIntervalS = 1;
constexpr int kProbeCount = 2;

// How long a closed channel still reads and discards incoming bytes. Closing a
// socket that has unread bytes would reset the connection.
// The time starts again while bytes arrive, so that a caller that is still
// sending a refused body gets the refusal, up to a limit of time and of bytes.
constexpr std::chrono::milliseconds kLingerTimeout{1000};
constexpr int kMaxLingerTimeouts = 10;
constexpr std::size_t kMaxLingerBytes = 16'777'216;

// All channels of a thread share one read buffer, because the bytes of each
// read are handled before the next read.
constexpr std::size_t kReadBufferBytes = 16'384;
thread_local std::array<char, kReadBufferBytes> read_buffer;

void SetOption(int socket, int level, int name, int value) {
  // Errors are ignored: the kernel's default, which reacts more slowly, then
  // stays in effect.
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

tcp_channel::tcp_channel(tcp::socket socket,
                         std::shared_ptr<const handler_guard> guard)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      guard_(std::move(guard)) {}

std::string tcp_channel::PeerName() const {
  boost::system::error_code error;
  const auto endpoint = socket_.remote_endpoint(error);
  if (error)
    return "closed channel";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void tcp_channel::SetOptions() {
  const int handle = socket_.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleS);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnackedTimeoutMs);
}

void tcp_channel::Connect(const std::optional<tcp::endpoint>& endpoint,
                          asio::steady_timer::duration limit,
                          channel_callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  is_outgoing_ = true;
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
  if (state_ == state::open && callbacks_.on_connected) {
    const auto on_connected = callbacks_.on_connected;
    if (!guard_->Run([this] { return PeerName(); }, on_connected))
      return End(channel_end::reset);
    if (state_ == state::ended)
      return;
  }
  Flush();
  Read();
}

void tcp_channel::OpenAccepted() {
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
  // Waiting for readability first means that an idle channel needs no buffer.
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
    // Called through a copy, since the callback may replace the callbacks.
    const auto on_data = callbacks_.on_data;
    if (!guard_->Run([this] { return PeerName(); },
                     [&] {
                       on_data({read_buffer.data(), size});
                     }))
      return End(channel_end::reset);
  }
  if (lingering_) {
    linger_bytes_ += size;
    if (linger_bytes_ > kMaxLingerBytes)
      return End(channel_end::closed);
  }
  if (state_ != state::ended)
    Read();
}

void tcp_channel::Write(std::string bytes) {
  if (state_ == state::closing || state_ == state::ended || bytes.empty())
    return;
  unsent_bytes_ += bytes.size();
  if (unsent_queue_.empty())
    unsent_queue_ = std::move(bytes);
  else
    unsent_queue_ += bytes;
  Flush();
}

void tcp_channel::Flush() {
  if (write_pending_ || state_ == state::connecting || state_ == state::ended)
    return;
  if (unsent_queue_.empty()) {
    if (state_ == state::closing && !lingering_)
      StartLinger();
    return;
  }
  // Most writes fit into the kernel's send buffer immediately.
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  const std::size_t size =
      socket_.write_some(asio::buffer(unsent_queue_), error);
  if (error && error != asio::error::would_block &&
      error != asio::error::try_again) {
    // Reported from the event loop, because callers of Write do not expect a
    // callback from within it.
    write_pending_ = true;
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->End(channel_end::reset); });
    return;
  }
  if (size > 0)
    has_sent_bytes_ = true;
  unsent_bytes_ -= size;
  unsent_queue_.erase(0, size);
  if (unsent_queue_.empty()) {
    if (state_ == state::closing && !lingering_)
      StartLinger();
    return;
  }
  write_pending_ = true;
  write_buffer_ = std::move(unsent_queue_);
  unsent_queue_.clear();
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
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
    has_sent_bytes_ = true;
  unsent_bytes_ -= size;
  write_buffer_.clear();
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
  // A closing channel reads until it has ended; see kLingerTimeout.
  if (!reading_)
    Read();
  Flush();
}

void tcp_channel::StartLinger() {
  lingering_ = true;
  boost::system::error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  WaitForLingerEnd(kMaxLingerTimeouts);
}

void tcp_channel::WaitForLingerEnd(int timeouts_left) {
  timer_.expires_after(kLingerTimeout);
  timer_.async_wait(
      [self = shared_from_this(), timeouts_left, bytes_before = linger_bytes_](
          const boost::system::error_code& cancelled) {
        if (cancelled)
          return;
        if (self->linger_bytes_ == bytes_before || timeouts_left <= 1)
          return self->CloseSocket();
        self->WaitForLingerEnd(timeouts_left - 1);
      });
}

// The kernel would go on delivering what this side has sent. What callers were
// sent, which is on accepted channels, is still delivered.
void tcp_channel::Abort() {
  callbacks_ = {};
  if (is_outgoing_) {
    boost::system::error_code error;
    socket_.set_option(asio::socket_base::linger(true, 0), error);
  }
  CloseSocket();
}

void tcp_channel::End(channel_end end) {
  if (state_ == state::ended)
    return;
  const auto on_end = std::move(callbacks_.on_end);
  callbacks_ = {};
  CloseSocket();
  if (on_end)
    guard_->Run([this] { return PeerName(); }, [&] { on_end(end); });
}

void tcp_channel::CloseSocket() {
  state_ = state::ended;
  timer_.cancel();
  boost::system::error_code error;
  socket_.close(error);
}

}  // namespace wist
