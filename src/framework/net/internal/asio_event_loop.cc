#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>

#include <list>
#include <optional>

#include "framework/net/i_event_loop.h"
#include "framework/net/internal/handler_guard.h"
#include "framework/net/internal/tcp_channel.h"

namespace wist {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

// Larger than any UDP datagram.
constexpr std::size_t kMaxDatagramBytes = 65'536;

// Accepting is retried after this delay when it fails, for example because the
// process has no free file descriptors.
constexpr milliseconds kAcceptRetryDelay{50};

class asio_timer final : public i_timer {
 public:
  asio_timer(asio::io_context& context,
             std::shared_ptr<const i_clock> clock,
             timestamp deadline,
             std::shared_ptr<const handler_guard> guard,
             std::function<void()> task)
      : state_(std::make_shared<shared_state>(context,
                                              std::move(clock),
                                              deadline,
                                              std::move(guard),
                                              std::move(task))) {
    Arm(state_);
  }

  ~asio_timer() override {
    state_->task = nullptr;
    state_->timer.cancel();
  }

 private:
  struct shared_state {
    shared_state(asio::io_context& context,
                 std::shared_ptr<const i_clock> clock_source,
                 timestamp fire_deadline,
                 std::shared_ptr<const handler_guard> handlers,
                 std::function<void()> scheduled_task)
        : timer(context),
          clock(std::move(clock_source)),
          deadline(fire_deadline),
          guard(std::move(handlers)),
          task(std::move(scheduled_task)) {}

    asio::steady_timer timer;
    std::shared_ptr<const i_clock> clock;
    timestamp deadline;
    std::shared_ptr<const handler_guard> guard;
    std::function<void()> task;
  };

  static void Arm(const std::shared_ptr<shared_state>& state) {
    state->timer.expires_after(state->deadline - state->clock->Now());
    state->timer.async_wait([state](const boost::system::error_code& error) {
      if (error || !state->task)
        return;
      if (state->clock->Now() < state->deadline)
        return Arm(state);
      const auto task = std::move(state->task);
      state->task = nullptr;
      state->guard->Run([] { return "timer"; }, task);
    });
  }

  const std::shared_ptr<shared_state> state_;
};

// Throws std::runtime_error if the host is not an IP address.
template <typename Endpoint>
Endpoint ToEndpoint(const http_address& address) {
  return {asio::ip::make_address(address.host), address.port};
}

// Returns nullopt if the host is not an IP address, since host names are not
// resolved.
template <typename Endpoint>
std::optional<Endpoint> TryToEndpoint(const http_address& address) {
  boost::system::error_code error;
  const auto host = asio::ip::make_address(address.host, error);
  if (error)
    return std::nullopt;
  return Endpoint(host, address.port);
}

class asio_datagram_port final : public i_datagram_port {
 public:
  asio_datagram_port(asio::io_context& context,
                     const http_address& address,
                     std::shared_ptr<const handler_guard> guard,
                     datagram_handler handler)
      : socket_(context, ToEndpoint<udp::endpoint>(address)),
        guard_(std::move(guard)),
        handler_(std::move(handler)) {
    socket_.non_blocking(true);
    buffer_.resize(kMaxDatagramBytes);
    Receive();
  }

  void Send(const http_address& to, const std::string& bytes) override {
    const auto endpoint = TryToEndpoint<udp::endpoint>(to);
    if (!endpoint)
      return;
    boost::system::error_code error;
    // Send errors are ignored, since delivery is not guaranteed anyway.
    socket_.send_to(asio::buffer(bytes), *endpoint, 0, error);
  }

 private:
  void Receive() {
    socket_.async_receive_from(
        asio::buffer(buffer_), from_,
        [this](const boost::system::error_code& error, std::size_t size) {
          if (error == asio::error::operation_aborted)
            return;
          if (!error) {
            const http_address from{from_.address().to_string(), from_.port()};
            guard_->Run([&] { return "datagram of " + from.host; },
                        [&] {
                          handler_({buffer_.data(), size}, from);
                        });
          }
          Receive();
        });
  }

  udp::socket socket_;
  const std::shared_ptr<const handler_guard> guard_;
  datagram_handler handler_;
  std::string buffer_;
  udp::endpoint from_;
};

class asio_event_loop final : public i_event_loop {
 public:
  explicit asio_event_loop(std::shared_ptr<const i_clock> clock)
      : clock_(std::move(clock)), context_(1) {}

  timestamp Now() const override { return clock_->Now(); }

  std::unique_ptr<i_timer> RunAt(timestamp deadline,
                                 std::function<void()> task) override {
    return std::make_unique<asio_timer>(context_, clock_, deadline, guard_,
                                        std::move(task));
  }

  std::shared_ptr<i_channel> Connect(const http_address& address,
                                     timestamp deadline,
                                     channel_callbacks callbacks) override {
    auto channel = std::make_shared<tcp_channel>(tcp::socket(context_), guard_);
    channel->Connect(TryToEndpoint<tcp::endpoint>(address), deadline - Now(),
                     std::move(callbacks));
    return channel;
  }

  using i_event_loop::Listen;
  void Listen(const http_address& address,
              accept_handler handler,
              const listen_options& options) override {
    listeners_.emplace_back(context_, std::move(handler));
    OpenAcceptor(listeners_.back().acceptor, ToEndpoint<tcp::endpoint>(address),
                 options);
    Accept(listeners_.back());
  }

  std::unique_ptr<i_datagram_port> OpenDatagramPort(
      const http_address& address,
      datagram_handler handler) override {
    return std::make_unique<asio_datagram_port>(context_, address, guard_,
                                                std::move(handler));
  }

  void AddSignalHandler(int signal, std::function<void()> handler) override {
    signals_.emplace_back(context_, signal);
    WaitForSignal(signals_.back(), std::move(handler));
    sigset_t held_back;
    sigemptyset(&held_back);
    sigaddset(&held_back, signal);
    pthread_sigmask(SIG_UNBLOCK, &held_back, nullptr);
  }

  void SetErrorReporter(handler_error_reporter reporter) override {
    guard_->SetReporter(std::move(reporter));
  }

  void Run() override { context_.run(); }
  void Stop() override { context_.stop(); }

 private:
  struct listener {
    listener(asio::io_context& context, accept_handler accept)
        : acceptor(context), handler(std::move(accept)) {}

    tcp::acceptor acceptor;
    accept_handler handler;
    std::unique_ptr<i_timer> retry_timer;
  };

  static void OpenAcceptor(tcp::acceptor& acceptor,
                           const tcp::endpoint& endpoint,
                           const listen_options& options) {
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Accepted sockets inherit the size. It is set before listening, since a
    // connection's window scale is fixed when it opens.
    if (options.receive_buffer_bytes > 0) {
      acceptor.set_option(
          asio::socket_base::receive_buffer_size(options.receive_buffer_bytes));
    }
    acceptor.bind(endpoint);
    acceptor.listen();
  }

  void Accept(listener& tcp_listener) {
    tcp_listener.acceptor.async_accept(
        [this, &tcp_listener](const boost::system::error_code& error,
                              tcp::socket socket) {
          if (error == asio::error::operation_aborted)
            return;
          if (error) {
            tcp_listener.retry_timer =
                RunAt(Now() + kAcceptRetryDelay,
                      [this, &tcp_listener] { Accept(tcp_listener); });
            return;
          }
          auto channel =
              std::make_shared<tcp_channel>(std::move(socket), guard_);
          channel->OpenAccepted();
          guard_->Run([&] { return channel->PeerName(); },
                      [&] { tcp_listener.handler(channel); });
          Accept(tcp_listener);
        });
  }

  void WaitForSignal(asio::signal_set& set, std::function<void()> handler) {
    set.async_wait([this, &set, handler = std::move(handler)](
                       const boost::system::error_code& error, int) {
      if (error)
        return;
      guard_->Run([] { return "signal"; }, handler);
      WaitForSignal(set, handler);
    });
  }

  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<handler_guard> guard_ =
      std::make_shared<handler_guard>();
  asio::io_context context_;
  std::list<listener> listeners_;
  std::list<asio::signal_set> signals_;
};

}  // namespace

std::unique_ptr<i_event_loop> MakeEventLoop(
    std::shared_ptr<const i_clock> clock) {
  return std::make_unique<asio_event_loop>(std::move(clock));
}

}  // namespace wist
