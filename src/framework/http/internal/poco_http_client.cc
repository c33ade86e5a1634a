#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <istream>
#include <sstream>

#include "framework/http/http_module.h"

namespace wist {
namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr milliseconds kMinTimeout{1};

Poco::Timespan ToTimespan(microseconds span) {
  return Poco::Timespan(std::max<microseconds>(span, kMinTimeout).count());
}

// Runs `operation` and rethrows Poco exceptions as http_error.
// `may_have_been_sent` says whether the server may have received bytes of the
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

HTTPRequest ToPocoRequest(const http_address& address,
                          const http_request& request) {
  HTTPRequest poco_request(request.method, request.path, HTTPRequest::HTTP_1_1);
  poco_request.setHost(address.host, address.port);
  for (const http_header& header : request.headers)
    poco_request.set(header.name, header.value);
  if (!request.body.empty() || request.method != HTTPRequest::HTTP_GET) {
    poco_request.setContentLength(
        static_cast<std::streamsize>(request.body.size()));
    poco_request.setContentType(request.content_type);
  }
  return poco_request;
}

std::vector<http_header> CopyHeaders(const HTTPResponse& response) {
  std::vector<http_header> headers;
  for (const auto& [name, value] : response)
    headers.push_back({name, value});
  return headers;
}

// One HTTP request and its response, on a connection of its own.
class http_exchange {
 public:
  http_exchange(const http_address& address,
                const http_request& request,
                microseconds time_left) {
    const Poco::Timespan timeout = ToTimespan(time_left);
    session_.setTimeout(timeout, timeout, timeout);
    session_.setHost(address.host);
    session_.setPort(address.port);
    TranslateErrors(/*may_have_been_sent=*/false,
                    [&] { Connect(address, timeout); });
    TranslateErrors(
        /*may_have_been_sent=*/true,
        [&] { Send(ToPocoRequest(address, request), request.body); });
    TranslateErrors(/*may_have_been_sent=*/true,
                    [&] { body_ = &session_.receiveResponse(response_); });
  }

  HTTPClientSession& session() { return session_; }
  const HTTPResponse& response() const { return response_; }
  std::istream& body() { return *body_; }

  // Called when no more body bytes can be read. Throws http_error if a network
  // error ended the body, since the stream alone does not distinguish this
  // from a complete body.
  void CheckBodyComplete() {
    const Poco::Exception* error = session_.networkException();
    if (!error)
      return;
    const bool timed_out =
        dynamic_cast<const Poco::TimeoutException*>(error) != nullptr;
    throw http_error(/*may_have_been_sent=*/true, timed_out,
                     error->displayText());
  }

 private:
  // NOTE: Connecting is separate from sending, so that a failed connection
  // attempt is reported as one that sent no bytes.
  void Connect(const http_address& address, const Poco::Timespan& timeout) {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address.host, address.port),
                   timeout);
    socket.setNoDelay(true);
    session_.attachSocket(socket);
  }

  void Send(HTTPRequest request, const std::string& body) {
    std::ostream& out = session_.sendRequest(request);
    out << body << std::flush;
    if (!out && session_.networkException())
      session_.networkException()->rethrow();
  }

  // Makes the protected attachSocket accessible, to pass a connected socket.
  class attachable_session : public HTTPClientSession {
   public:
    using HTTPClientSession::HTTPClientSession;
    void attachSocket(const Poco::Net::StreamSocket& socket) {
      HTTPSession::attachSocket(socket);
    }
  };

  attachable_session session_;
  HTTPResponse response_;
  std::istream* body_ = nullptr;
};

class poco_http_stream final : public i_http_stream {
 public:
  poco_http_stream(const http_address& address,
                   const http_request& request,
                   microseconds time_left,
                   milliseconds stall_limit)
      : exchange_(address, request, time_left) {
    const Poco::Timespan timeout = ToTimespan(stall_limit);
    exchange_.session().setTimeout(timeout, timeout, timeout);
    exchange_.session().socket().setReceiveTimeout(timeout);
  }

  int status() const override { return exchange_.response().getStatus(); }

  bool ReadLine(std::string& line) override {
    const bool has_line = TranslateErrors(
        /*may_have_been_sent=*/true,
        [&] { return !!std::getline(exchange_.body(), line); });
    if (!has_line || exchange_.body().eof()) {
      exchange_.CheckBodyComplete();
      if (!has_line)
        return false;
    }
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    return true;
  }

 private:
  http_exchange exchange_;
};

class poco_http_client final : public i_http_client {
 public:
  explicit poco_http_client(std::shared_ptr<const i_clock> clock)
      : clock_(std::move(clock)) {}

  http_response Call(const http_address& address,
                     const http_request& request,
                     timestamp deadline) override {
    http_exchange exchange(address, request, deadline - clock_->Now());
    http_response response;
    response.status = exchange.response().getStatus();
    response.headers = CopyHeaders(exchange.response());
    std::ostringstream body;
    TranslateErrors(/*may_have_been_sent=*/true, [&] {
      Poco::StreamCopier::copyStream(exchange.body(), body);
    });
    exchange.CheckBodyComplete();
    response.body = body.str();
    return response;
  }

  std::unique_ptr<i_http_stream> Open(const http_address& address,
                                      const http_request& request,
                                      timestamp header_deadline,
                                      milliseconds stall_limit) override {
    return std::make_unique<poco_http_stream>(
        address, request, header_deadline - clock_->Now(), stall_limit);
  }

 private:
  const std::shared_ptr<const i_clock> clock_;
};

}  // namespace

std::shared_ptr<i_http_client> MakeHttpClient(
    std::shared_ptr<const i_clock> clock) {
  return std::make_shared<poco_http_client>(std::move(clock));
}

}  // namespace wist
