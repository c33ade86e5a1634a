#ifndef FRAMEWORK_HTTP_TESTS_MOCKS_RAW_SERVER_H_
#define FRAMEWORK_HTTP_TESTS_MOCKS_RAW_SERVER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <future>
#include <string>
#include <utility>

#include "framework/http/http_types.h"

namespace wist {

// Serves one request: reads it up to its blank line, sends bytes as they are,
// and closes the connection.
class raw_server {
 public:
  explicit raw_server(std::string bytes)
      : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        served_(
            std::async(std::launch::async,
                       [this, bytes = std::move(bytes)] { Serve(bytes); })) {}

  http_address address() const {
    return {"127.0.0.1", socket_.address().port()};
  }

  // The request. Waits until the connection is closed.
  std::string Request() {
    served_.wait();
    return request_;
  }

  // Connections that were opened until the request. To be called after Request.
  int ConnectionCount() const { return connection_count_; }

 private:
  Poco::Net::StreamSocket Accept() {
    ++connection_count_;
    return socket_.acceptConnection();
  }

  // Returns false if the client closes the connection before its request.
  bool ReadRequest(Poco::Net::StreamSocket& client) {
    while (request_.find("\r\n\r\n") == std::string::npos) {
      const int size =
          client.receiveBytes(buffer_.data(), static_cast<int>(buffer_.size()));
      if (size <= 0)
        return false;
      request_.append(buffer_.data(), static_cast<std::size_t>(size));
    }
    return true;
  }

  void Serve(const std::string& bytes) {
    Poco::Net::StreamSocket client = Accept();
    while (!ReadRequest(client))
      client = Accept();
    for (std::size_t sent = 0; sent < bytes.size();) {
      const int size = client.sendBytes(bytes.data() + sent,
                                        static_cast<int>(bytes.size() - sent));
      sent += static_cast<std::size_t>(size);
    }
    client.shutdownSend();
    // Closing a socket with unread bytes resets the connection.
    while (client.receiveBytes(buffer_.data(),
                               static_cast<int>(buffer_.size())) > 0) {
    }
  }

  Poco::Net::ServerSocket socket_;
  std::array<char, 4096> buffer_{};
  std::string request_;
  int connection_count_ = 0;
  std::future<void> served_;
};

}  // namespace wist

#endif  // FRAMEWORK_HTTP_TESTS_MOCKS_RAW_SERVER_H_
