#ifndef FRAMEWORK_NET_HTTP_CODEC_H_
#define FRAMEWORK_NET_HTTP_CODEC_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/http/http_types.h"

namespace wist {

// A request as it was read: header names keep the sender's spelling.
struct http_request_message {
  std::string method;
  std::string target;  // Path and query, unchanged.
  std::vector<http_header> headers;
  std::string body;
  bool keep_alive = true;

  // Returns the first value of `name` in any case, or an empty string.
  std::string_view Header(std::string_view name) const;
  std::size_t CountHeader(std::string_view name) const;
};

// Status line and headers of an answer.
struct http_answer_head {
  int status = 0;
  std::vector<http_header> headers;
  bool keep_alive = true;

  std::string_view Header(std::string_view name) const;
};

struct http_reader_limits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1'048'576;
};

enum class http_read_fault { malformed, header_too_large, body_too_large };

// Reads requests from one connection, strictly: a message whose length could be
// understood in two ways is malformed.
class i_http_request_reader {
 public:
  virtual ~i_http_request_reader() = default;

  // Takes bytes that follow those taken before.
  virtual void Feed(std::string_view bytes) = 0;

  // Returns the next whole request, if there is one.
  virtual std::optional<http_request_message> Next() = 0;

  // Set once no further request can be read.
  virtual std::optional<http_read_fault> fault() const = 0;

  // Whether some bytes of a request are there.
  virtual bool Begun() const = 0;

  // Whether the head of the request under way is whole.
  virtual bool HeadRead() const = 0;

  // Bytes taken and not read yet.
  virtual std::size_t BufferedBytes() const = 0;
};

std::unique_ptr<i_http_request_reader> MakeHttpRequestReader(
    const http_reader_limits& limits);

enum class answer_state {
  head_missing,
  body_missing,
  complete,
  malformed,
};

// Reads one answer as it arrives.
class i_http_answer_reader {
 public:
  virtual ~i_http_answer_reader() = default;

  // Takes bytes and returns how many belong to this answer.
  virtual std::size_t Feed(std::string_view bytes) = 0;

  // The channel was closed in order. Completes an answer without a length.
  virtual void FeedEnd() = 0;

  virtual answer_state state() const = 0;

  // Valid unless the head is missing.
  virtual const http_answer_head& head() const = 0;

  // Takes the body bytes that came since the last call.
  virtual std::string TakeBody() = 0;
};

std::unique_ptr<i_http_answer_reader> MakeHttpAnswerReader(
    std::size_t max_header_bytes);

// Encoders; lengths are added, `Connection` is not.
std::string EncodeHttpRequest(const http_request_message& request);
std::string EncodeHttpAnswer(int status,
                             const std::vector<http_header>& headers,
                             std::string_view body);
std::string EncodeChunkedAnswerHead(int status,
                                    const std::vector<http_header>& headers);
std::string EncodeChunk(std::string_view bytes);
std::string_view LastChunk();

bool SameHeaderName(std::string_view left, std::string_view right);

}  // namespace wist

#endif  // FRAMEWORK_NET_HTTP_CODEC_H_
