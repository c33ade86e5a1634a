#include "entry/internal/caller_request.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "framework/base/hashing.h"
#include "verdict/verdict_types.h"

namespace wist {
namespace {

using json = nlohmann::json;

constexpr std::size_t kEstimatedBytesPerToken = 4;
constexpr std::int64_t kMaxPromptTokens = 200'000;
constexpr std::size_t kMaxNameBytes = 128;

// The prefix hash, by which requests with a common prompt prefix are matched,
// covers this many bytes.
constexpr std::size_t kPromptPrefixBytes = 1024;

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;

[[noreturn]] void Reject(error_code code, const std::string& text) {
  throw request_error(code, run_verdict::not_run, text);
}

void RequireCompleteBody(const http_server_request& request) {
  if (request.body_too_large)
    Reject(error_code::body_too_large, "request body exceeds the size limit");
  if (request.body_incomplete)
    Reject(error_code::bad_request,
           "request body is shorter than its Content-Length");
}

json ParseBody(const std::string& text) {
  json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object())
    Reject(error_code::bad_request, "request body is not a JSON object");
  return body;
}

std::string RequireName(const std::string& text, const std::string& what) {
  if (text.empty())
    Reject(error_code::bad_request, what + " is missing");
  if (text.size() > kMaxNameBytes)
    Reject(error_code::bad_request, what + " is longer than 128 bytes");
  return text;
}

std::optional<milliseconds> ParseTimeout(const http_server_request& request) {
  const std::string text = request.Header("X-Deadline-Ms");
  if (text.empty())
    return std::nullopt;
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 1 ||
      value > kMaxTimeoutMs)
    Reject(error_code::bad_request,
           "X-Deadline-Ms must be an integer from 1 to 3600000");
  return milliseconds(value);
}

std::string MessagesText(const json& body) {
  if (!body.contains("messages") || !body.at("messages").is_array() ||
      body.at("messages").empty())
    Reject(error_code::bad_request, "messages must be a non-empty array");
  std::string text;
  for (const json& message : body.at("messages")) {
    if (!message.is_object() || !message.contains("content") ||
        !message.at("content").is_string())
      Reject(error_code::bad_request,
             "each message must be an object with a string content");
    text += message.at("content").get<std::string>();
  }
  return text;
}

std::string PromptText(const json& body, stream_format format) {
  if (format == stream_format::chat)
    return MessagesText(body);
  if (!body.contains("prompt") || !body.at("prompt").is_string())
    Reject(error_code::bad_request, "prompt must be a string");
  return body.at("prompt").get<std::string>();
}

void RequirePositiveIfPresent(const json& body, const char* name) {
  if (body.contains(name) && (!body.at(name).is_number_integer() ||
                              body.at(name).get<std::int64_t>() < 1))
    Reject(error_code::bad_request,
           std::string(name) + " must be a positive integer");
}

bool GetOptionalBool(const json& body, const char* name) {
  if (!body.contains(name))
    return false;
  if (!body.at(name).is_boolean())
    Reject(error_code::bad_request, std::string(name) + " must be a boolean");
  return body.at(name).get<bool>();
}

}  // namespace

generation_request ParseGenerationRequest(const http_server_request& request) {
  RequireCompleteBody(request);
  const json body = ParseBody(request.body);
  generation_request parsed;
  parsed.format = request.path == "/v1/chat/completions"
                      ? stream_format::chat
                      : stream_format::completion;
  parsed.workspace =
      workspace_id(RequireName(request.Header("X-Workspace"), "X-Workspace"));
  if (!body.contains("model") || !body.at("model").is_string())
    Reject(error_code::bad_request, "model must be a string");
  parsed.service =
      service_id(RequireName(body.at("model").get<std::string>(), "model"));
  RequirePositiveIfPresent(body, "max_tokens");
  parsed.stream = GetOptionalBool(body, "stream");
  parsed.first_token_timeout = ParseTimeout(request);
  const std::string prompt = PromptText(body, parsed.format);
  parsed.prompt_tokens =
      1 + static_cast<std::int64_t>(prompt.size() / kEstimatedBytesPerToken);
  if (parsed.prompt_tokens > kMaxPromptTokens)
    Reject(error_code::bad_request,
           "prompt is longer than an estimated 200000 tokens");
  if (prompt.size() >= kPromptPrefixBytes) {
    parsed.prefix =
        std::to_string(StableHash(prompt.substr(0, kPromptPrefixBytes)));
    parsed.prefix_tokens = kPromptPrefixBytes / kEstimatedBytesPerToken;
  }
  parsed.body = request.body;
  parsed.digest =
      Sha256Hex(parsed.service.text() + "\n" + request.body).substr(0, 32);
  return parsed;
}

plain_request ParsePlainRequest(const http_server_request& request,
                                const std::string& service) {
  RequireCompleteBody(request);
  ParseBody(request.body);
  plain_request parsed;
  parsed.workspace =
      workspace_id(RequireName(request.Header("X-Workspace"), "X-Workspace"));
  parsed.service = service_id(RequireName(service, "service name"));
  parsed.body = request.body;
  parsed.digest = Sha256Hex(service + "\n" + request.body).substr(0, 32);
  parsed.timeout = ParseTimeout(request);
  const std::string key = request.Header("Idempotency-Key");
  if (!key.empty()) {
    parsed.key = idempotency_key::Parse(key);
    if (!parsed.key)
      Reject(error_code::bad_request,
             "Idempotency-Key is not a version 7 UUID");
  }
  return parsed;
}

}  // namespace wist
