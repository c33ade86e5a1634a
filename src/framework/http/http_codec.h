#ifndef FRAMEWORK_HTTP_HTTP_CODEC_H_
#define FRAMEWORK_HTTP_HTTP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/http/http_types.h"

namespace wist {

// A parsed request. Header names keep the sender's capitalization.
struct http_request_message {
  std::string method;
  std::string target;  // Path and query, unchanged.
  std::vector<http_header> headers;
  std::string body;
  bool keep_alive = true;

  // Returns the first value of header `name`, or an empty string. Header names
  // are case-insensitive.
  std::string_view Header(std::string_view name) const;
  std::size_t CountHeader(std::string_view name) const;
};

// Status line and headers of a response.
struct http_response_head {
  int status = 0;
  std::vector<http_header> headers;
  bool keep_alive = true;

  std::string_view Header(std::string_view name) const;

  // Whether the body has neither a length nor chunks, so that it ends with the
  // channel.
  bool EndsWithChannel() const;
};

struct http_reader_limits {
  // For bodies whose user bounds what it keeps.
  static constexpr std::size_t kUnlimitedBody =
      std::numeric_limits<std::size_t>::max();

  std::size_t max_header_bytes = 16'384;
  // A message with a longer body is rejected, with its head if that states the
  // length.
  std::size_t max_body_bytes = 1'048'576;

  bool operator==(const http_reader_limits&) const = default;
};

enum class http_read_error { malformed, header_too_large, body_too_large };

// Parses the requests of one connection. The parser is strict: a message whose
// length is ambiguous is malformed.
class i_http_request_reader {
 public:
  virtual ~i_http_request_reader() = default;

  // Takes effect with the next request of which nothing has arrived yet.
  virtual void SetLimits(const http_reader_limits& limits) = 0;

  // Appends received bytes to the input.
  virtual void Feed(std::string_view bytes) = 0;

  // Returns the next request if it has arrived completely.
  virtual std::optional<http_request_message> Next() = 0;

  // Set once the input is invalid and no further request can be read.
  virtual std::optional<http_read_error> read_error() const = 0;

  // Whether any byte of a request that Next has not returned yet has arrived.
  virtual bool HasPartialRequest() const = 0;

  // Whether the request line and all headers of that request were parsed.
  virtual bool IsHeadComplete() const = 0;

  // Number of input bytes that have not been parsed yet.
  virtual std::size_t BufferedBytes() const = 0;

  // Number of bytes held of that request and of what follows it.
  virtual std::size_t HeldBytes() const = 0;

  // Length of the body as its head states it; nullopt if the head is not
  // complete or the body is chunked.
  virtual std::optional<std::uint64_t> StatedBodyBytes() const = 0;

  // Whether the sender waits for an interim response before it sends the body.
  virtual bool ExpectsContinue() const = 0;

  // Returns that request without its body. Requires IsHeadComplete.
  virtual http_request_message PartialRequest() const = 0;
};

std::unique_ptr<i_http_request_reader> MakeHttpRequestReader(
    const http_reader_limits& limits);

enum class response_state {
  head_missing,
  body_missing,
  complete,
  malformed,
};

// What a response has to keep to; the sections are those of RFC 9112 unless
// stated otherwise.
enum class response_rule {
  status_line,      // Section 4.
  status_code,      // 100 to 599, and no switch of protocols (RFC 9110, 15).
  field_line,       // Names and values, in the head and in trailers: section 5.
  folded_line,      // Section 5.2.
  content_length,   // Section 6.3, and none where there is no body.
  transfer_coding,  // "chunked" only: sections 6.1 and 7.
  chunk,            // Section 7.1.
  interim_responses,  // A limited number of them.
  head_size,          // Limits of the reader.
  body_size,
  complete,  // The connection ends after the response: section 8.
};

// Returns the name of the rule for logs and metrics.
std::string_view ResponseRuleName(response_rule rule);

// Parses one response incrementally, after the interim responses (1xx) that
// come before it. A response that breaks a rule of RFC 9110 or RFC 9112 for its
// status line, its fields, its framing or its trailers is malformed.
class i_http_response_reader {
 public:
  virtual ~i_http_response_reader() = default;

  // Consumes received bytes and returns how many of them belong to this
  // response or to an interim response.
  virtual std::size_t Feed(std::string_view bytes) = 0;

  // Called when the channel was closed in an orderly way, which is the end of a
  // response without a length.
  virtual void FeedEnd() = 0;

  virtual response_state state() const = 0;

  // The first rule that the response breaks. Set if it is malformed.
  virtual std::optional<response_rule> broken_rule() const = 0;

  // Valid in all states except `head_missing`; after `malformed` it may be
  // incomplete.
  virtual const http_response_head& head() const = 0;

  // Returns the body bytes parsed since the last call.
  virtual std::string TakeBody() = 0;
};

// A response to HEAD has no body, whatever its head states.
std::unique_ptr<i_http_response_reader> MakeHttpResponseReader(
    const http_reader_limits& limits,
    bool is_response_to_head = false);

// Whether the line begins a response: a version, a blank and a status code.
bool IsStatusLine(std::string_view line);

// Returns the heads of responses in `bytes`, in order; the last one may be cut
// off. Where only the end of the channel ends a body, a second response becomes
// part of it.
std::vector<http_response_head> FindResponseHeads(std::string_view bytes);

// Encode a message in HTTP/1.1 format. Requests and responses get the
// Content-Length or Transfer-Encoding header that they need, but no Connection
// header.
std::string EncodeHttpRequest(const http_request_message& request);
// The same with another body, which spares a copy of a large one.
std::string EncodeHttpRequest(const http_request_message& head,
                              std::string_view body);
std::string EncodeHttpResponse(int status,
                               const std::vector<http_header>& headers,
                               std::string_view body);
// A response to HEAD, or one with a status that permits no body. Its length, if
// it states one, is among the headers.
std::string EncodeBodilessResponse(int status,
                                   const std::vector<http_header>& headers);
std::string EncodeChunkedResponseHead(int status,
                                      const std::vector<http_header>& headers);
std::string EncodeChunk(std::string_view bytes);
std::string_view LastChunk();

// Whether the status permits a body (RFC 9112, section 6.3).
bool StatusPermitsBody(int status);

// Returns an encoded response without its body.
std::string WithoutBody(std::string response);

// Header names are case-insensitive.
bool SameHeaderName(std::string_view left, std::string_view right);

}  // namespace wist

#endif  // FRAMEWORK_HTTP_HTTP_CODEC_H_
