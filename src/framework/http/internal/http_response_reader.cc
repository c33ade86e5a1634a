#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

#include "framework/http/http_codec.h"
#include "framework/http/internal/beast_message.h"

namespace wist {
namespace {

namespace http = boost::beast::http;
namespace asio = boost::asio;

// Other codes of three digits are not defined (RFC 9110, section 15). Beast
// accepts them.
constexpr unsigned kMinStatusCode = 100;
constexpr unsigned kMaxStatusCode = 599;

// Lower ones are those of interim responses.
constexpr unsigned kMinFinalStatusCode = 200;

// Interim responses beyond this number are taken for bytes without end.
constexpr int kMaxInterimResponses = 100;

// As Beast states it.
constexpr unsigned kHttp11 = 11;

// Returns the elements of a list without the blanks around them. Empty elements
// are left out (RFC 9110, section 5.6.1).
std::vector<std::string_view> ListElements(std::string_view list) {
  constexpr std::string_view kBlanks = " \t";
  std::vector<std::string_view> elements;
  for (std::size_t begin = 0; begin <= list.size();) {
    const std::size_t end = std::min(list.find(',', begin), list.size());
    const std::size_t first = list.find_first_not_of(kBlanks, begin);
    if (first < end) {
      const std::size_t last = list.find_last_not_of(kBlanks, end - 1);
      elements.push_back(list.substr(first, last - first + 1));
    }
    begin = end + 1;
  }
  return elements;
}

std::optional<response_rule> RuleOf(const boost::system::error_code& error) {
  if (!error || error == http::error::need_more)
    return std::nullopt;
  if (error == http::error::bad_version || error == http::error::bad_reason)
    return response_rule::status_line;
  if (error == http::error::bad_status)
    return response_rule::status_code;
  if (error == http::error::bad_content_length)
    return response_rule::content_length;
  if (error == http::error::bad_transfer_encoding)
    return response_rule::transfer_coding;
  if (error == http::error::bad_chunk ||
      error == http::error::bad_chunk_extension)
    return response_rule::chunk;
  if (error == http::error::header_limit)
    return response_rule::head_size;
  if (error == http::error::body_limit)
    return response_rule::body_size;
  if (error == http::error::partial_message)
    return response_rule::complete;
  return response_rule::field_line;
}

class response_reader final : public i_http_response_reader {
 public:
  response_reader(const http_reader_limits& limits, bool is_response_to_head)
      : limits_(limits), is_response_to_head_(is_response_to_head) {
    ResetParser();
  }

  std::size_t Feed(std::string_view bytes) override {
    std::size_t taken = 0;
    while (state_ == response_state::head_missing && taken < bytes.size())
      taken += FeedHead(bytes.substr(taken));
    if (state_ == response_state::body_missing)
      taken += FeedBody(bytes.substr(taken));
    return taken;
  }

  void FeedEnd() override {
    if (state_ != response_state::body_missing)
      return;
    boost::system::error_code error;
    parser_->put_eof(error);
    if (error)
      Reject(response_rule::complete);
    else
      state_ = response_state::complete;
  }

  response_state state() const override { return state_; }
  std::optional<response_rule> broken_rule() const override {
    return broken_rule_;
  }
  const http_response_head& head() const override { return head_; }

  std::string TakeBody() override {
    std::string taken;
    taken.swap(parser_->get().body());
    return taken;
  }

 private:
  void Reject(response_rule rule) {
    state_ = response_state::malformed;
    broken_rule_ = rule;
  }

  void ResetParser() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser_->body_limit(limits_.max_body_bytes);
    parser_->eager(true);
    parser_->skip(is_response_to_head_);
    parser_->on_chunk_header(on_chunk_header_);
  }

  // The parser gets the whole head at once, so that the result does not depend
  // on how the bytes are split.
  std::size_t FeedHead(std::string_view bytes) {
    head_bytes_.append(bytes);
    const std::size_t end = head_bytes_.find(kHeadEnd);
    if (end == std::string::npos) {
      if (head_bytes_.size() > limits_.max_header_bytes)
        Reject(response_rule::head_size);
      return bytes.size();
    }
    const std::string head = head_bytes_.substr(0, end + kHeadEnd.size());
    const std::size_t taken = bytes.size() - (head_bytes_.size() - head.size());
    head_bytes_.clear();
    if (const auto broken = ParseHead(head)) {
      Reject(*broken);
      return bytes.size();
    }
    if (IsInterim()) {
      // A server may send it unrequested (RFC 9110, section
      // 15.2). The response follows.
      if (++interim_count_ > kMaxInterimResponses)
        Reject(response_rule::interim_responses);
      ResetParser();
      return taken;
    }
    head_.status = static_cast<int>(parser_->get().result_int());
    head_.headers = CopyHeaders(parser_->get());
    head_.keep_alive = parser_->get().keep_alive();
    if (parser_->is_done()) {
      state_ = response_state::complete;
      return taken;
    }
    state_ = response_state::body_missing;
    return taken;
  }

  // Returns the first rule that the head breaks.
  std::optional<response_rule> ParseHead(const std::string& head) {
    std::size_t parsed_size = 0;
    while (parsed_size < head.size()) {
      boost::system::error_code error;
      const std::size_t taken = parser_->put(
          asio::buffer(head.data() + parsed_size, head.size() - parsed_size),
          error);
      parsed_size += taken;
      if (const auto broken = RuleOf(error))
        return broken;
      if (taken == 0)
        break;
    }
    if (parsed_size != head.size() || !parser_->is_header_done())
      return response_rule::field_line;
    if (!HasValidStatusCode())
      return response_rule::status_code;
    if (HasFoldedLine(head))
      return response_rule::folded_line;
    if (!HasValidTransferCodings())
      return response_rule::transfer_coding;
    if (!MayHaveBody() && StatesBody())
      return parser_->chunked() ? response_rule::transfer_coding
                                : response_rule::content_length;
    return std::nullopt;
  }

  // Requests offer no switch to another protocol.
  bool HasValidStatusCode() const {
    const unsigned code = parser_->get().result_int();
    return code >= kMinStatusCode && code <= kMaxStatusCode &&
           parser_->get().result() != http::status::switching_protocols;
  }

  bool IsInterim() const {
    return parser_->get().result_int() < kMinFinalStatusCode;
  }

  // A response to a conditional request, with status 304, may state the length
  // of the body that it leaves out (RFC 9110, section 8.6).
  bool MayHaveBody() const {
    return !IsInterim() && parser_->get().result() != http::status::no_content;
  }

  bool StatesBody() const {
    return parser_->chunked() || parser_->content_length().value_or(0) > 0;
  }

  // Requests accept no transfer coding, so that only "chunked" is valid, once
  // and not in HTTP/1.0 (RFC 9112, sections 6.1 and 7). Beast takes a body with
  // other codings for one that ends with the channel.
  bool HasValidTransferCodings() const {
    const auto& message = parser_->get();
    const auto [first, last] =
        message.equal_range(http::field::transfer_encoding);
    if (first == last)
      return true;
    std::size_t count = 0;
    for (auto field = first; field != last; ++field) {
      const boost::string_view value = field->value();
      for (const auto coding : ListElements({value.data(), value.size()})) {
        if (!SameHeaderName(coding, "chunked"))
          return false;
        ++count;
      }
    }
    return count == 1 && message.version() >= kHttp11;
  }

  std::size_t FeedBody(std::string_view bytes) {
    std::string_view rest = bytes;
    if (!unparsed_bytes_.empty()) {
      unparsed_bytes_.append(bytes);
      rest = unparsed_bytes_;
    }
    std::size_t total = 0;
    while (total < rest.size() && !parser_->is_done()) {
      boost::system::error_code error;
      const std::size_t parsed_size = parser_->put(
          asio::buffer(rest.data() + total, rest.size() - total), error);
      total += parsed_size;
      if (const auto broken = RuleOf(error)) {
        Reject(*broken);
        return bytes.size();
      }
      if (parsed_size == 0 || error == http::error::need_more)
        break;
    }
    if (parser_->is_done()) {
      const std::string_view parsed = rest.substr(0, total);
      if (HasFoldedTrailer(parsed))
        Reject(response_rule::folded_line);
      else
        state_ = response_state::complete;
      const std::size_t left = rest.size() - total;
      return bytes.size() - left;
    }
    unparsed_bytes_ = std::string(rest.substr(total));
    if (unparsed_bytes_.size() > limits_.max_header_bytes)
      Reject(response_rule::head_size);
    return bytes.size();
  }

  // `input` ends with the response. The parser reads the trailer section at
  // once, so that all of it is in there.
  bool HasFoldedTrailer(std::string_view input) const {
    return last_chunk_header_end_ &&
           HasFoldedLine(input.substr(last_chunk_header_end_ - input.data()));
  }

  const http_reader_limits limits_;
  const bool is_response_to_head_;
  std::optional<http::response_parser<growing_body>> parser_;
  int interim_count_ = 0;
  // The end of the last chunk's header in the parser's input, once it is read.
  const char* last_chunk_header_end_ = nullptr;
  std::function<
      void(std::uint64_t, boost::string_view, boost::system::error_code&)>
      on_chunk_header_ = [this](std::uint64_t size,
                                boost::string_view extensions,
                                boost::system::error_code&) {
        if (size == 0)
          last_chunk_header_end_ = extensions.data() + extensions.size();
      };
  response_state state_ = response_state::head_missing;
  std::optional<response_rule> broken_rule_;
  http_response_head head_;
  std::string head_bytes_;
  std::string unparsed_bytes_;  // Bytes of an incomplete chunk header.
};

constexpr std::string_view kLineEnd = "\r\n";

// Returns the position of a status line in `line`, which it may follow other
// bytes in; npos if there is none.
std::size_t FindStatusLine(std::string_view line) {
  constexpr std::string_view kStart = "HTTP/1.";
  constexpr std::size_t kDigitCount = 3;
  const std::size_t at = line.rfind(kStart);
  if (at == std::string_view::npos)
    return at;
  // A digit of the version, a blank and the status code.
  const std::string_view rest = line.substr(at + kStart.size());
  if (rest.size() < 2 + kDigitCount || rest[1] != ' ')
    return std::string_view::npos;
  const std::string_view code = rest.substr(2, kDigitCount);
  const bool is_code = std::all_of(code.begin(), code.end(), [](char digit) {
    return digit >= '0' && digit <= '9';
  });
  return is_code ? at : std::string_view::npos;
}

// Returns the head of a response in the last lines of `lines`, which the empty
// line of a head may follow. Parses at most once, so that a search takes time
// in proportion to its input.
std::optional<http_response_head> HeadAtEnd(std::string_view lines) {
  const http_reader_limits limits;
  if (lines.size() > limits.max_header_bytes)
    lines.remove_prefix(lines.size() - limits.max_header_bytes);
  for (std::size_t end = lines.size(); end > 0;) {
    const std::size_t line_end = lines.rfind(kLineEnd, end - 1);
    const std::size_t begin =
        line_end == std::string_view::npos ? 0 : line_end + kLineEnd.size();
    const std::string_view line = lines.substr(begin, end - begin);
    const std::size_t at = FindStatusLine(line);
    if (at != std::string_view::npos) {
      const auto reader = MakeHttpResponseReader(limits);
      reader->Feed(std::string(lines.substr(begin + at)) +
                   std::string(kHeadEnd));
      if (reader->state() == response_state::malformed ||
          reader->state() == response_state::head_missing)
        return std::nullopt;
      return reader->head();
    }
    if (begin == 0 || line.find(':') == std::string_view::npos)
      return std::nullopt;
    end = line_end;
  }
  return std::nullopt;
}

}  // namespace

std::string_view ResponseRuleName(response_rule rule) {
  switch (rule) {
    case response_rule::status_line:
      return "status_line";
    case response_rule::status_code:
      return "status_code";
    case response_rule::field_line:
      return "field_line";
    case response_rule::folded_line:
      return "folded_line";
    case response_rule::content_length:
      return "content_length";
    case response_rule::transfer_coding:
      return "transfer_coding";
    case response_rule::chunk:
      return "chunk";
    case response_rule::interim_responses:
      return "interim_responses";
    case response_rule::head_size:
      return "head_size";
    case response_rule::body_size:
      return "body_size";
    case response_rule::complete:
      return "complete";
  }
  return "";
}

bool IsStatusLine(std::string_view line) {
  return FindStatusLine(line) == 0;
}

std::vector<http_response_head> FindResponseHeads(std::string_view bytes) {
  std::vector<http_response_head> heads;
  std::size_t begin = 0;
  for (std::size_t end = bytes.find(kHeadEnd); end != std::string_view::npos;
       end = bytes.find(kHeadEnd, begin)) {
    if (auto head = HeadAtEnd(bytes.substr(begin, end - begin)))
      heads.push_back(std::move(*head));
    begin = end + kHeadEnd.size();
  }
  // The last line of a head that is cut off may be incomplete.
  const std::string_view rest = bytes.substr(begin);
  const std::size_t last_line = rest.rfind(kLineEnd);
  if (last_line != std::string_view::npos) {
    if (auto head = HeadAtEnd(rest.substr(0, last_line)))
      heads.push_back(std::move(*head));
  }
  return heads;
}

std::unique_ptr<i_http_response_reader> MakeHttpResponseReader(
    const http_reader_limits& limits,
    bool is_response_to_head) {
  return std::make_unique<response_reader>(limits, is_response_to_head);
}

}  // namespace wist
