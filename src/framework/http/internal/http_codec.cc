#include "framework/http/http_codec.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include "framework/http/internal/beast_message.h"

namespace wist {
namespace {

namespace http = boost::beast::http;
namespace asio = boost::asio;

// An empty input buffer that is larger than this is freed. Reads are smaller,
// so it only grows with large heads and pipelined requests.
constexpr std::size_t kMaxKeptBufferBytes = 65'536;

std::string_view FindHeader(const std::vector<http_header>& headers,
                            std::string_view name) {
  for (const http_header& header : headers) {
    if (SameHeaderName(header.name, name))
      return header.value;
  }
  return {};
}

http_read_error ToReadError(const boost::system::error_code& error) {
  if (error == http::error::header_limit)
    return http_read_error::header_too_large;
  if (error == http::error::body_limit)
    return http_read_error::body_too_large;
  return http_read_error::malformed;
}

class request_reader final : public i_http_request_reader {
 public:
  explicit request_reader(const http_reader_limits& limits)
      : next_limits_(limits) {
    ResetParser();
  }

  void SetLimits(const http_reader_limits& limits) override {
    if (limits == next_limits_)
      return;
    next_limits_ = limits;
    if (!HasPartialRequest())
      ResetParser();
  }

  void Feed(std::string_view bytes) override { buffer_.append(bytes); }

  std::optional<http_request_message> Next() override {
    if (read_error_ || !ReadHead())
      return std::nullopt;
    boost::system::error_code error;
    while (!buffer_.empty() && !parser_->is_done()) {
      const std::size_t parsed_size =
          parser_->put(asio::buffer(buffer_), error);
      buffer_.erase(0, parsed_size);
      if (error == http::error::need_more)
        break;
      if (error) {
        read_error_ = ToReadError(error);
        return std::nullopt;
      }
      if (parsed_size == 0)
        break;
    }
    if (!parser_->is_done()) {
      // What is left is the incomplete header of a chunk.
      if (buffer_.size() > limits_.max_header_bytes)
        read_error_ = http_read_error::header_too_large;
      FreeLargeBuffer();
      return std::nullopt;
    }
    FreeLargeBuffer();
    http_request_message request = HeadOf(parser_->get());
    request.body = std::move(parser_->get().body());
    ResetParser();
    return request;
  }

  std::optional<http_read_error> read_error() const override {
    return read_error_;
  }

  bool HasPartialRequest() const override {
    return !buffer_.empty() || is_head_complete_;
  }
  bool IsHeadComplete() const override { return is_head_complete_; }
  std::size_t BufferedBytes() const override { return buffer_.size(); }

  std::size_t HeldBytes() const override {
    return buffer_.size() + parser_->get().body().size();
  }

  std::optional<std::uint64_t> StatedBodyBytes() const override {
    if (!is_head_complete_ || !parser_->content_length())
      return std::nullopt;
    return *parser_->content_length();
  }

  bool ExpectsContinue() const override {
    return is_head_complete_ && parser_->get().version() >= 11 &&
           boost::beast::iequals(parser_->get()[http::field::expect],
                                 "100-continue");
  }

  http_request_message PartialRequest() const override {
    return HeadOf(parser_->get());
  }

 private:
  void FreeLargeBuffer() {
    if (buffer_.empty() && buffer_.capacity() > kMaxKeptBufferBytes)
      std::string().swap(buffer_);  // An assignment would keep the buffer.
  }

  void ResetParser() {
    limits_ = next_limits_;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser_->body_limit(limits_.max_body_bytes);
    parser_->eager(true);
    is_head_complete_ = false;
    searched_bytes_ = 0;
  }

  // Passes the head to the parser once it is complete. Returns whether it has
  // been parsed.
  bool ReadHead() {
    if (is_head_complete_)
      return true;
    // Empty lines before a request line are ignored (RFC 9112, section 2.2).
    while (buffer_.starts_with("\r\n"))
      buffer_.erase(0, 2);
    const std::size_t end = buffer_.find(kHeadEnd, searched_bytes_);
    if (end == std::string::npos) {
      // The end of the head may have arrived in part.
      searched_bytes_ = buffer_.size() < kHeadEnd.size()
                            ? 0
                            : buffer_.size() - kHeadEnd.size() + 1;
      if (buffer_.size() > limits_.max_header_bytes)
        read_error_ = http_read_error::header_too_large;
      return false;
    }
    const std::string head = buffer_.substr(0, end + kHeadEnd.size());
    if (HasFoldedLine(head)) {
      read_error_ = http_read_error::malformed;
      return false;
    }
    boost::system::error_code error;
    const std::size_t parsed_size = parser_->put(asio::buffer(head), error);
    if (error && error != http::error::need_more) {
      read_error_ = ToReadError(error);
      return false;
    }
    if (parsed_size != head.size() || !parser_->is_header_done()) {
      read_error_ = http_read_error::malformed;
      return false;
    }
    buffer_.erase(0, parsed_size);
    is_head_complete_ = true;
    return true;
  }

  template <typename Message>
  static http_request_message HeadOf(const Message& message) {
    http_request_message request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = CopyHeaders(message);
    request.keep_alive = message.keep_alive();
    return request;
  }

  http_reader_limits limits_;
  http_reader_limits next_limits_;
  std::string buffer_;
  // Leading bytes of the buffer in which no head ends.
  std::size_t searched_bytes_ = 0;
  std::optional<http::request_parser<growing_body>> parser_;
  std::optional<http_read_error> read_error_;
  bool is_head_complete_ = false;
};

std::string EncodeHead(int status, const std::vector<http_header>& headers) {
  std::string head = fmt::format(
      "HTTP/1.1 {} {}\r\n", status,
      std::string(http::obsolete_reason(static_cast<http::status>(status))));
  for (const http_header& header : headers)
    head += fmt::format("{}: {}\r\n", header.name, header.value);
  return head;
}

}  // namespace

bool SameHeaderName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

std::string_view http_request_message::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::size_t http_request_message::CountHeader(std::string_view name) const {
  std::size_t count = 0;
  for (const http_header& header : headers)
    count += SameHeaderName(header.name, name) ? 1 : 0;
  return count;
}

std::string_view http_response_head::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

bool http_response_head::EndsWithChannel() const {
  return Header("Content-Length").empty() &&
         Header("Transfer-Encoding").empty();
}

std::unique_ptr<i_http_request_reader> MakeHttpRequestReader(
    const http_reader_limits& limits) {
  return std::make_unique<request_reader>(limits);
}

std::string EncodeHttpRequest(const http_request_message& request) {
  return EncodeHttpRequest(request, request.body);
}

std::string EncodeHttpRequest(const http_request_message& head,
                              std::string_view body) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
  for (const http_header& header : head.headers)
    text += fmt::format("{}: {}\r\n", header.name, header.value);
  if (!body.empty() || head.method != "GET")
    text += fmt::format("Content-Length: {}\r\n", body.size());
  text += "\r\n";
  text.reserve(text.size() + body.size());
  text += body;
  return text;
}

std::string EncodeHttpResponse(int status,
                               const std::vector<http_header>& headers,
                               std::string_view body) {
  std::string text = EncodeHead(status, headers);
  text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
  text += body;
  return text;
}

std::string EncodeBodilessResponse(int status,
                                   const std::vector<http_header>& headers) {
  return EncodeHead(status, headers) + "\r\n";
}

std::string EncodeChunkedResponseHead(int status,
                                      const std::vector<http_header>& headers) {
  return EncodeHead(status, headers) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string EncodeChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string_view LastChunk() {
  return "0\r\n\r\n";
}

bool StatusPermitsBody(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  constexpr int kMinFinalStatus = 200;
  return status >= kMinFinalStatus && status != kNoContent &&
         status != kNotModified;
}

std::string WithoutBody(std::string response) {
  const std::size_t end = response.find(kHeadEnd);
  if (end != std::string::npos)
    response.resize(end + kHeadEnd.size());
  return response;
}

}  // namespace wist
