#ifndef FRAMEWORK_HTTP_INTERNAL_BEAST_MESSAGE_H_
#define FRAMEWORK_HTTP_INTERNAL_BEAST_MESSAGE_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "framework/http/http_types.h"

namespace wist {

// End of a head.
inline constexpr std::string_view kHeadEnd = "\r\n\r\n";

// A body that grows with the bytes that arrive. The string body of Beast
// reserves the length that the sender states.
struct growing_body {
  using value_type = std::string;

  class reader {
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>&,
              boost::system::error_code& error) {
      error = {};
    }

    template <typename ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers,
                    boost::system::error_code& error) {
      error = {};
      const std::size_t size = boost::asio::buffer_size(buffers);
      const std::size_t old_size = body_.size();
      body_.resize(old_size + size);
      boost::asio::buffer_copy(boost::asio::buffer(&body_[old_size], size),
                               buffers);
      return size;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

// Beast joins folded header lines. They are rejected because other HTTP
// implementations may parse the second line as a separate header; a gateway may
// reject them (RFC 9112, section 5.2).
inline bool HasFoldedLine(std::string_view head) {
  for (std::size_t at = head.find('\n'); at != std::string_view::npos;
       at = head.find('\n', at + 1)) {
    if (at + 1 < head.size() && (head[at + 1] == ' ' || head[at + 1] == '\t'))
      return true;
  }
  return false;
}

template <typename Fields>
std::vector<http_header> CopyHeaders(const Fields& fields) {
  std::vector<http_header> headers;
  for (const auto& field : fields) {
    headers.push_back(
        {std::string(field.name_string()),
         std::string(field.value().data(), field.value().size())});
  }
  return headers;
}

}  // namespace wist

#endif  // FRAMEWORK_HTTP_INTERNAL_BEAST_MESSAGE_H_
