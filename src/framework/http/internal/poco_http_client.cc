#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "framework/http/http_codec.h"
#include "framework/http/http_module.h"

namespace wist {
namespace {

constexpr milliseconds kMinTimeout{1};
constexpr std::size_t kReadBufferBytes = 16'384;
constexpr http_reader_limits kLimits{16'384,
                                     http_reader_limits::kUnlimitedBody};

Poco::Timespan ToTimespan(microseconds span) {
  return Poco::Timespan(std::max<microseconds>(span, kMinTimeout).count());
}

// Runs `operation` and rethrows Poco exceptions as http_error.
// `may_have_been_sent` is whether the server may have received bytes of the
// request if `operation` fails.
template <typename Operation>
auto TranslateErrors(bool may_have_been_sent, Operation operation) {
  try {
    return operation();
  } catch (const Poco::TimeoutException& error) {
    throw http_error(may_have_been_sent, true, error.displayText());
  } catch (const Poco::Exception& error) {
    throw http_error(may_have_been_sent, false, error.displayText());
  }
}

void SetHeader(http_request_message& message, const http_header& header) {
  std::erase_if(message.headers, [&](const http_header& earlier) {
    return SameHeaderName(earlier.name, header.name);
  });
  message.headers.push_back(header);
}

std::string EncodeRequest(const http_address& address,
                          const http_request& request) {
  http_request_message message;
  message.method = request.method;
  message.target = request.path;
  message.headers = {{"Host", fmt::format("{}:{}", address.host, address.port)},
                     {"Connection", "close"}};
  for (const http_header& header : request.headers)
    SetHeader(message, header);
  if (!request.body.empty() || request.method != "GET")
    SetHeader(message, {"Content-Type", request.content_type});
  return EncodeHttpRequest(message, request.body);
}

// One HTTP request and its response, on a connection of its own. The response
// is read by the same rules as those to the gateway's calls.
class http_exchange {
 public:
  // Returns once the head of the response has arrived.
  http_exchange(const http_address& address,
                const http_request& request,
                microseconds time_left,
                invalid_response_observer observer)
      : label_(request.label), observer_(std::move(observer)) {
    const Poco::Timespan timeout = ToTimespan(time_left);
    // Connecting is separate from sending, so that a failed connection attempt
    // is reported as one that sent no bytes.
    TranslateErrors(/*may_have_been_sent=*/false, [&] {
      socket_.connect(Poco::Net::SocketAddress(address.host, address.port),
                      timeout);
      socket_.setNoDelay(true);
      socket_.setSendTimeout(timeout);
      socket_.setReceiveTimeout(timeout);
    });
    TranslateErrors(/*may_have_been_sent=*/true,
                    [&] { Send(EncodeRequest(address, request)); });
    while (reader_->state() == response_state::head_missing)
      Receive();
  }

  const http_response_head& head() const { return reader_->head(); }
  bool IsComplete() const {
    return reader_->state() == response_state::complete;
  }
  std::string TakeBody() { return reader_->TakeBody(); }

  // Longest wait for the next bytes.
  void SetReceiveTimeout(milliseconds timeout) {
    socket_.setReceiveTimeout(ToTimespan(timeout));
  }

  // Reads the next bytes of the response. Throws http_error if they are invalid
  // or if there are none. Bytes after the response belong to no request.
  void Receive() {
    std::array<char, kReadBufferBytes> buffer;
    const int size = TranslateErrors(/*may_have_been_sent=*/true, [&] {
      return socket_.receiveBytes(buffer.data(),
                                  static_cast<int>(buffer.size()));
    });
    if (size > 0) {
      reader_->Feed({buffer.data(), static_cast<std::size_t>(size)});
      if (const auto rule = reader_->broken_rule()) {
        if (observer_)
          observer_({label_, std::string(ResponseRuleName(*rule))});
        throw http_error(
            /*may_have_been_sent=*/true, /*timed_out=*/false,
            fmt::format("invalid response, rule {}", ResponseRuleName(*rule)),
            /*is_invalid_response=*/true);
      }
      return;
    }
    reader_->FeedEnd();
    if (!IsComplete())
      throw http_error(
          /*may_have_been_sent=*/true, /*timed_out=*/false,
          "connection was closed before the response was complete");
  }

 private:
  void Send(const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
      sent += static_cast<std::size_t>(socket_.sendBytes(
          bytes.data() + sent, static_cast<int>(bytes.size() - sent),
          MSG_NOSIGNAL));
    }
  }

  const call_label label_;
  const invalid_response_observer observer_;
  Poco::Net::StreamSocket socket_;
  const std::unique_ptr<i_http_response_reader> reader_ =
      MakeHttpResponseReader(kLimits);
};

class poco_http_stream final : public i_http_stream {
 public:
  poco_http_stream(const http_address& address,
                   const http_request& request,
                   microseconds time_left,
                   milliseconds stall_limit,
                   invalid_response_observer observer)
      : exchange_(address, request, time_left, std::move(observer)) {
    exchange_.SetReceiveTimeout(stall_limit);
  }

  int status() const override { return exchange_.head().status; }

  bool ReadLine(std::string& line) override {
    for (;;) {
      unread_ += exchange_.TakeBody();
      const std::size_t end = unread_.find('\n', searched_bytes_);
      if (end != std::string::npos) {
        TakeLine(end, 1, line);
        return true;
      }
      if (exchange_.IsComplete())
        break;
      searched_bytes_ = unread_.size();
      exchange_.Receive();
    }
    if (unread_.empty())
      return false;
    TakeLine(unread_.size(), 0, line);
    return true;
  }

 private:
  void TakeLine(std::size_t size,
                std::size_t terminator_size,
                std::string& line) {
    line.assign(unread_, 0, size);
    unread_.erase(0, size + terminator_size);
    searched_bytes_ = 0;
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
  }

  http_exchange exchange_;
  // Body bytes that no line has returned yet.
  std::string unread_;
  // Leading bytes of it in which no line ends.
  std::size_t searched_bytes_ = 0;
};

class poco_http_client final : public i_http_client {
 public:
  poco_http_client(std::shared_ptr<const i_clock> clock,
                   invalid_response_observer observer)
      : clock_(std::move(clock)), observer_(std::move(observer)) {}

  http_response Call(const http_address& address,
                     const http_request& request,
                     timestamp deadline) override {
    http_exchange exchange(address, request, deadline - clock_->Now(),
                           observer_);
    std::string body = exchange.TakeBody();
    while (!exchange.IsComplete()) {
      exchange.Receive();
      body += exchange.TakeBody();
    }
    return {exchange.head().status, exchange.head().headers, std::move(body)};
  }

  std::unique_ptr<i_http_stream> Open(const http_address& address,
                                      const http_request& request,
                                      timestamp header_deadline,
                                      milliseconds stall_limit) override {
    return std::make_unique<poco_http_stream>(address, request,
                                              header_deadline - clock_->Now(),
                                              stall_limit, observer_);
  }

 private:
  const std::shared_ptr<const i_clock> clock_;
  const invalid_response_observer observer_;
};

}  // namespace

std::shared_ptr<i_http_client> MakeHttpClient(
    std::shared_ptr<const i_clock> clock,
    invalid_response_observer observer) {
  return std::make_shared<poco_http_client>(std::move(clock),
                                            std::move(observer));
}

}  // namespace wist
