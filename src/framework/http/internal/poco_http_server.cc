#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <array>
#include <chrono>
#include <istream>
#include <ostream>

#include "framework/http/http_module.h"

namespace wist {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponse;

constexpr int kListenBacklog = 512;
constexpr int kStackBytes = 128 * 1024;
constexpr int kIdleThreadSeconds = 30;
constexpr std::size_t kMaxDiscardedBytes = 16 << 20;
constexpr std::chrono::seconds kMaxDiscardTime{10};

// The kernel's receive buffer of a connection grows to several megabytes
// otherwise.
constexpr int kReceiveBufferBytes = 64 * 1024;

// Bodies in chunks claim memory in steps of this size.
constexpr std::size_t kClaimStepBytes = 16'384;

Poco::Timespan ToTimespan(milliseconds span) {
  return Poco::Timespan(microseconds(span).count());
}

// Reads and discards the rest of a body, up to limits. Closing a connection
// that has unread bytes resets it, and the client may lose the response.
void DiscardBody(std::istream& in) {
  std::array<char, 4096> buffer{};
  std::size_t discarded = 0;
  const auto deadline = std::chrono::steady_clock::now() + kMaxDiscardTime;
  while (discarded < kMaxDiscardedBytes &&
         std::chrono::steady_clock::now() < deadline &&
         (in.read(buffer.data(), buffer.size()) || in.gcount() > 0))
    discarded += static_cast<std::size_t>(in.gcount());
}

// `memory` is null without a budget.
void ReadBody(HTTPServerRequest& request,
              std::size_t max_bytes,
              i_body_memory* memory,
              http_server_request& out) {
  if (request.getContentLength64() > static_cast<Poco::Int64>(max_bytes)) {
    out.body_too_large = true;
    DiscardBody(request.stream());
    return;
  }
  std::array<char, 4096> buffer{};
  std::istream& in = request.stream();
  const bool is_growing = request.getContentLength64() < 0;
  std::size_t claimed = 0;
  while (in.read(buffer.data(), buffer.size()) || in.gcount() > 0) {
    out.body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    if (out.body.size() > max_bytes) {
      out.body_too_large = true;
      DiscardBody(in);
      return;
    }
    if (!memory)
      continue;
    memory->OnReceived(out.body.size());
    if (is_growing && out.body.size() > claimed) {
      claimed = out.body.size() + kClaimStepBytes;
      if (!memory->Claim(claimed)) {
        // An assignment would keep the buffer.
        std::string().swap(out.body);
        out.no_room = true;
        return;
      }
    }
  }
  const auto expected = request.getContentLength64();
  if (expected >= 0 && out.body.size() < static_cast<std::size_t>(expected))
    out.body_incomplete = true;
  if (memory)
    memory->OnComplete();
}

bool HasBody(const HTTPServerRequest& request) {
  return request.hasContentLength() || request.getChunkedTransferEncoding();
}

http_server_request ReadRequest(HTTPServerRequest& request,
                                std::size_t max_body_bytes,
                                i_body_memory* memory,
                                bool is_refused) {
  http_server_request out;
  out.method = request.getMethod();
  const std::string& uri = request.getURI();
  const std::size_t query_separator = uri.find('?');
  Poco::URI::decode(uri.substr(0, query_separator), out.path);
  if (query_separator != std::string::npos)
    out.query = uri.substr(query_separator + 1);
  for (const auto& [name, value] : request)
    out.headers.push_back({name, value});
  out.no_room = is_refused;
  if (!is_refused && HasBody(request))
    ReadBody(request, max_body_bytes, memory, out);
  return out;
}

class poco_responder final : public i_http_responder {
 public:
  poco_responder(HTTPServerRequest& request, HTTPServerResponse& response)
      : request_(request), response_(response) {}

  void Send(const http_response& response,
            const std::string& content_type) override {
    started_ = true;
    SetStatusAndHeaders(response.status, response.headers, content_type);
    response_.setContentLength(
        static_cast<std::streamsize>(response.body.size()));
    response_.send() << response.body << std::flush;
  }

  void BeginStream(int status,
                   const std::vector<http_header>& headers,
                   const std::string& content_type) override {
    started_ = true;
    SetStatusAndHeaders(status, headers, content_type);
    response_.setChunkedTransferEncoding(true);
    stream_ = &response_.send();
  }

  void Write(std::string_view chunk) override {
    try {
      stream_->write(chunk.data(), static_cast<std::streamsize>(chunk.size()));
      stream_->flush();
    } catch (const Poco::Exception& error) {
      throw http_client_disconnected(error.displayText());
    }
    if (!*stream_)
      throw http_client_disconnected("the client closed the connection");
  }

  bool HasStarted() const override { return started_; }

  void Abort() override {
    try {
      static_cast<HTTPServerRequestImpl&>(request_).socket().shutdown();
    } catch (const Poco::Exception&) {
      // The connection is already closed.
    }
  }

 private:
  void SetStatusAndHeaders(int status,
                           const std::vector<http_header>& headers,
                           const std::string& content_type) {
    response_.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response_.setContentType(content_type);
    for (const http_header& header : headers)
      response_.set(header.name, header.value);
  }

  HTTPServerRequest& request_;
  HTTPServerResponse& response_;
  std::ostream* stream_ = nullptr;
  bool started_ = false;
};

struct shared_handler {
  http_handler handler;
  std::size_t max_body_bytes;
  Poco::Timespan send_timeout;
  std::shared_ptr<i_body_budget> body_budget;
};

class poco_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit poco_handler(std::shared_ptr<const shared_handler> shared)
      : shared_(std::move(shared)) {}

  // Claims the memory of a body whose length is stated. Without room, the
  // status of the response is set, so that no "100 Continue" is sent.
  void Admit(const HTTPServerRequest& request) {
    if (!shared_->body_budget || !HasBody(request))
      return;
    // The server passes its own request as a constant.
    auto socket = static_cast<HTTPServerRequestImpl&>(
                      const_cast<HTTPServerRequest&>(request))
                      .socket();
    memory_ = shared_->body_budget->Add([socket]() mutable {
      try {
        socket.shutdown();
      } catch (const Poco::Exception&) {
        // The connection is already closed.
      }
    });
    const auto stated = request.getContentLength64();
    if (stated < 0 ||
        stated > static_cast<Poco::Int64>(shared_->max_body_bytes))
      return;
    is_refused_ = !memory_->Claim(static_cast<std::size_t>(stated));
    if (is_refused_)
      request.response().setStatus(
          HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE);
  }

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    static_cast<HTTPServerRequestImpl&>(request).socket().setSendTimeout(
        shared_->send_timeout);
    poco_responder responder(request, response);
    try {
      const auto received = ReadRequest(request, shared_->max_body_bytes,
                                        memory_.get(), is_refused_);
      if (received.no_room)
        memory_.reset();
      // The rest of a body that was not read completely would be parsed as the
      // next request.
      if (received.body_too_large || received.body_incomplete ||
          received.no_room)
        response.setKeepAlive(false);
      shared_->handler(received, responder);
      if (received.no_room) {
        static_cast<HTTPServerRequestImpl&>(request).socket().shutdownSend();
        DiscardBody(request.stream());
      }
    } catch (const Poco::Exception&) {
      responder.Abort();
    } catch (const http_client_disconnected&) {
      responder.Abort();
    }
  }

 private:
  const std::shared_ptr<const shared_handler> shared_;
  std::unique_ptr<i_body_memory> memory_;
  bool is_refused_ = false;
};

class poco_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit poco_handler_factory(std::shared_ptr<const shared_handler> shared)
      : shared_(std::move(shared)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& request) override {
    auto handler = std::make_unique<poco_handler>(shared_);
    handler->Admit(request);
    return handler.release();  // Deleted by Poco.
  }

 private:
  const std::shared_ptr<const shared_handler> shared_;
};

class poco_http_server final : public i_http_server {
 public:
  poco_http_server(const http_server_settings& settings, http_handler handler)
      : pool_(2, settings.max_threads, kIdleThreadSeconds, kStackBytes),
        socket_(Bind(settings)) {
    auto shared = std::make_shared<const shared_handler>(shared_handler{
        std::move(handler), settings.max_body_bytes,
        ToTimespan(settings.send_timeout), settings.body_budget});
    auto* params = new Poco::Net::HTTPServerParams;  // Owned by the server.
    params->setMaxThreads(settings.max_threads);
    params->setMaxQueued(settings.max_queued);
    params->setTimeout(ToTimespan(settings.receive_timeout));
    params->setKeepAliveTimeout(ToTimespan(settings.receive_timeout));
    server_ = std::make_unique<Poco::Net::HTTPServer>(
        new poco_handler_factory(std::move(shared)), pool_, socket_, params);
    server_->start();
  }

  ~poco_http_server() override {
    StopAccepting();
    server_->stopAll(true);
    pool_.joinAll();
  }

  std::uint16_t port() const override { return socket_.address().port(); }

  void StopAccepting() override {
    if (!accepting_)
      return;
    accepting_ = false;
    server_->stop();
    socket_.close();
  }

 private:
  static Poco::Net::ServerSocket Bind(const http_server_settings& settings) {
    try {
      Poco::Net::ServerSocket socket;
      socket.bind(Poco::Net::SocketAddress(settings.host, settings.port),
                  /*reuseAddress=*/true);
      // Accepted sockets inherit the size.
      socket.setReceiveBufferSize(kReceiveBufferBytes);
      socket.listen(kListenBacklog);
      return socket;
    } catch (const Poco::Exception& error) {
      throw std::runtime_error("cannot listen on " + settings.host + ":" +
                               std::to_string(settings.port) + ": " +
                               error.displayText());
    }
  }

  Poco::ThreadPool pool_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
  bool accepting_ = true;
};

}  // namespace

std::unique_ptr<i_http_server> MakeHttpServer(
    const http_server_settings& settings,
    http_handler handler) {
  return std::make_unique<poco_http_server>(settings, std::move(handler));
}

std::string http_server_request::Header(const std::string& name) const {
  return http_response{0, headers, {}}.Header(name);
}

std::string http_server_request::QueryValue(const std::string& name) const {
  Poco::URI uri;
  uri.setRawQuery(query);
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key == name)
      return value;
  }
  return {};
}

}  // namespace wist
