#include "framework/http/http_types.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace wist {
namespace {

bool EqualIgnoringCase(const std::string& a, const std::string& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

}  // namespace

http_address ParseHttpAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    throw std::invalid_argument("'" + text +
                                "' is not an address of the form host:port");
  unsigned port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last || port == 0 || port > 65535)
    throw std::invalid_argument("'" + text +
                                "' does not have a port between 1 and 65535");
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::string http_response::Header(const std::string& name) const {
  for (const http_header& header : headers) {
    if (EqualIgnoringCase(header.name, name))
      return header.value;
  }
  return {};
}

}  // namespace wist
