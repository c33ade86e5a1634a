#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <string_view>

#include "framework/http/http_codec.h"

using namespace wist;

namespace {

constexpr int kRounds = 4000;

const std::vector<std::string> kRequestSeeds = {
    "POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    "GET /a?b=c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"};

const std::vector<std::string> kResponseSeeds = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"};

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char byte) {
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
  });
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kOther = "!#$%&'*+-.^_`|~";
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [&](unsigned char byte) {
           return (byte >= '0' && byte <= '9') ||
                  (byte >= 'A' && byte <= 'Z') ||
                  (byte >= 'a' && byte <= 'z') ||
                  kOther.find(static_cast<char>(byte)) != kOther.npos;
         });
}

bool IsStatusLine(std::string_view line) {
  constexpr std::size_t kCodeAt = 9;
  constexpr std::size_t kReasonAt = 13;
  if (!line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.0 "))
    return false;
  if (line.size() < kReasonAt || line[kReasonAt - 1] != ' ')
    return false;
  const std::string_view code = line.substr(kCodeAt, 3);
  return code[0] >= '1' && code[0] <= '5' &&
         std::all_of(code.begin(), code.end(),
                     [](char digit) { return digit >= '0' && digit <= '9'; }) &&
         IsText(line.substr(kReasonAt));
}

// Removes the first line from the bytes. Returns nothing if there is none.
std::optional<std::string_view> TakeLine(std::string_view& bytes) {
  constexpr std::string_view kLineEnd = "\r\n";
  const std::size_t end = bytes.find(kLineEnd);
  if (end == std::string_view::npos)
    return std::nullopt;
  const std::string_view line = bytes.substr(0, end);
  bytes.remove_prefix(end + kLineEnd.size());
  return line;
}

// Whether the bytes begin with a head by the grammar of RFC 9112, sections 4
// and 5, read line by line and without the parser.
bool HasValidHead(std::string_view bytes) {
  const auto status_line = TakeLine(bytes);
  if (!status_line || !IsStatusLine(*status_line))
    return false;
  while (const auto line = TakeLine(bytes)) {
    if (line->empty())
      return true;
    const std::size_t colon = line->find(':');
    if (colon == std::string_view::npos || !IsToken(line->substr(0, colon)) ||
        !IsText(line->substr(colon + 1)))
      return false;
  }
  return false;
}

std::string Mutate(std::string bytes, std::mt19937& random) {
  const std::string alphabet = "\r\n :;0159afTC\t\x80-";
  const int changes = static_cast<int>(random() % 4);
  for (int i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random() % bytes.size();
    switch (random() % 3) {
      case 0:
        bytes[at] = alphabet[random() % alphabet.size()];
        break;
      case 1:
        bytes.erase(at, 1 + random() % 3);
        break;
      default:
        bytes.insert(at, 1, alphabet[random() % alphabet.size()]);
    }
  }
  return bytes;
}

struct read_result {
  std::vector<std::string> requests;
  std::optional<http_read_error> error;

  bool operator==(const read_result&) const = default;
};

// Feeds `bytes` to a reader in chunks of at most `step` bytes.
read_result ReadInChunks(const std::string& bytes, std::size_t step) {
  const auto reader = MakeHttpRequestReader({512, 512});
  read_result result;
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    reader->Feed(std::string_view(bytes).substr(at, step));
    while (const auto request = reader->Next())
      result.requests.push_back(request->method + " " + request->target + " " +
                                request->body);
  }
  result.error = reader->read_error();
  return result;
}

}  // namespace

TEST_CASE("the split of the input does not change how requests are parsed") {
  std::mt19937 random(20261204);
  for (int round = 0; round < kRounds; ++round) {
    const std::string bytes =
        Mutate(kRequestSeeds[random() % kRequestSeeds.size()] +
                   kRequestSeeds[random() % kRequestSeeds.size()],
               random);
    const read_result whole = ReadInChunks(bytes, bytes.size() + 1);
    const read_result chunked = ReadInChunks(bytes, 1 + random() % 7);
    INFO(bytes);
    CHECK(chunked.requests == whole.requests);
    CHECK(chunked.error.has_value() == whole.error.has_value());
  }
}

// Guards against a parser that accepts more than the grammar.
TEST_CASE("only a head by the grammar is a response") {
  std::mt19937 random(7122026);
  int accepted = 0;
  for (int round = 0; round < 10 * kRounds; ++round) {
    const std::string bytes =
        Mutate(kResponseSeeds[random() % kResponseSeeds.size()], random);
    const auto reader = MakeHttpResponseReader({512});
    reader->Feed(bytes);
    if (reader->state() != response_state::body_missing &&
        reader->state() != response_state::complete)
      continue;
    ++accepted;
    if (HasValidHead(bytes))
      continue;
    INFO(bytes);
    CHECK(HasValidHead(bytes));
  }
  CHECK(accepted > kRounds);
}

TEST_CASE("the split of the input does not change how a response is parsed") {
  std::mt19937 random(4122026);
  for (int round = 0; round < kRounds; ++round) {
    const std::string bytes =
        Mutate(kResponseSeeds[random() % kResponseSeeds.size()], random);
    const auto whole = MakeHttpResponseReader({512});
    whole->Feed(bytes);
    const std::string whole_body = whole->TakeBody();
    const auto chunked = MakeHttpResponseReader({512});
    const std::size_t step = 1 + random() % 5;
    std::string chunked_body;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      chunked->Feed(std::string_view(bytes).substr(at, step));
      chunked_body += chunked->TakeBody();
    }
    INFO(bytes);
    CHECK(chunked->state() == whole->state());
    if (whole->state() == response_state::complete)
      CHECK(chunked_body == whole_body);
  }
}
