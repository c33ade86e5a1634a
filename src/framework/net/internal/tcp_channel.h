#ifndef FRAMEWORK_NET_INTERNAL_TCP_CHANNEL_H_
#define FRAMEWORK_NET_INTERNAL_TCP_CHANNEL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <optional>

#include "framework/net/i_channel.h"
#include "framework/net/internal/handler_guard.h"

namespace wist {

// An i_channel on a TCP socket. Pending operations keep the object alive.
class tcp_channel final : public i_channel,
                          public std::enable_shared_from_this<tcp_channel> {
 public:
  tcp_channel(boost::asio::ip::tcp::socket socket,
              std::shared_ptr<const handler_guard> guard);

  // Starts connecting. Without an endpoint, the channel ends with
  // `connect_failed`.
  void Connect(const std::optional<boost::asio::ip::tcp::endpoint>& endpoint,
               boost::asio::steady_timer::duration limit,
               channel_callbacks callbacks);

  // Marks the channel of an accepted socket as open.
  void OpenAccepted();

  // Address of the remote end, for error reports.
  std::string PeerName() const;

  // i_channel:
  void SetCallbacks(channel_callbacks callbacks) override;
  void Write(std::string bytes) override;
  std::size_t UnsentBytes() const override { return unsent_bytes_; }
  bool HasSentBytes() const override { return has_sent_bytes_; }
  void Close() override;
  void Abort() override;

 private:
  enum class state { connecting, open, closing, ended };

  void SetOptions();
  void OnConnected(const boost::system::error_code& error);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void Flush();
  void OnWritten(const boost::system::error_code& error, std::size_t size);
  void StartLinger();
  void WaitForLingerEnd(int timeouts_left);
  void End(channel_end end);
  void CloseSocket();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const std::shared_ptr<const handler_guard> guard_;
  channel_callbacks callbacks_;
  state state_ = state::connecting;
  bool is_outgoing_ = false;
  bool reading_ = false;
  bool has_sent_bytes_ = false;
  bool write_pending_ = false;
  bool lingering_ = false;
  // Bytes that were discarded since the lingering began.
  std::size_t linger_bytes_ = 0;
  std::size_t unsent_bytes_ = 0;
  std::string write_buffer_;
  std::string unsent_queue_;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_INTERNAL_TCP_CHANNEL_H_
