#include "entry/internal/caller_request.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "framework/base/hashing.h"
#include "verdict/verdict_types.h"

namespace wist {
namespace {

using json = nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kMaxPromptTokens = 200'000;
constexpr std::size_t kMaxNameBytes = 128;

// The shared beginning of prompts is taken from this many bytes.
constexpr std::size_t kPrefixBytes = 1024;

constexpr std::int64_t kLongestLimitMs = 3'600'000;

[[noreturn]] void Refuse(error_code code, const std::string& text) {
  throw request_error(code, run_verdict::not_run, text);
}

void CheckBody(const http_server_request& request) {
  if (request.body_too_large)
    Refuse(error_code::body_too_large, "the body is too large");
  if (request.body_incomplete)
    Refuse(error_code::bad_request, "the body is shorter than announced");
}

json ParseBody(const std::string& text) {
  json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object())
    Refuse(error_code::bad_request, "the body is not a JSON object");
  return body;
}

std::string Name(const std::string& text, const std::string& what) {
  if (text.empty())
    Refuse(error_code::bad_request, what + " is missing");
  if (text.size() > kMaxNameBytes)
    Refuse(error_code::bad_request, what + " is too long");
  return text;
}

std::optional<milliseconds> Limit(const http_server_request& request) {
  const std::string text = request.Header("X-Deadline-Ms");
  if (text.empty())
    return std::nullopt;
  std::int64_t value = 0;
  const auto [end, fault] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size() || value < 1 ||
      value > kLongestLimitMs)
    Refuse(error_code::bad_request, "X-Deadline-Ms is not a valid time");
  return milliseconds(value);
}

std::string MessagesText(const json& body) {
  if (!body.contains("messages") || !body.at("messages").is_array() ||
      body.at("messages").empty())
    Refuse(error_code::bad_request, "messages is missing or not a list");
  std::string text;
  for (const json& message : body.at("messages")) {
    if (!message.is_object() || !message.contains("content") ||
        !message.at("content").is_string())
      Refuse(error_code::bad_request, "a message has no text");
    text += message.at("content").get<std::string>();
  }
  return text;
}

std::string PromptText(const json& body, stream_format format) {
  if (format == stream_format::chat)
    return MessagesText(body);
  if (!body.contains("prompt") || !body.at("prompt").is_string())
    Refuse(error_code::bad_request, "prompt is missing or not a text");
  return body.at("prompt").get<std::string>();
}

void CheckOptionalNumber(const json& body, const char* name) {
  if (body.contains(name) && (!body.at(name).is_number_integer() ||
                              body.at(name).get<std::int64_t>() < 1))
    Refuse(error_code::bad_request,
           std::string(name) + " is not a positive number");
}

bool OptionalFlag(const json& body, const char* name) {
  if (!body.contains(name))
    return false;
  if (!body.at(name).is_boolean())
    Refuse(error_code::bad_request, std::string(name) + " is not a flag");
  return body.at(name).get<bool>();
}

}  // namespace

generation_request ParseGenerationRequest(const http_server_request& request) {
  CheckBody(request);
  const json body = ParseBody(request.body);
  generation_request parsed;
  parsed.format = request.path == "/v1/chat/completions"
                      ? stream_format::chat
                      : stream_format::completion;
  parsed.workspace =
      workspace_id(Name(request.Header("X-Workspace"), "X-Workspace"));
  if (!body.contains("model") || !body.at("model").is_string())
    Refuse(error_code::bad_request, "model is missing or not a text");
  parsed.service =
      service_id(Name(body.at("model").get<std::string>(), "model"));
  CheckOptionalNumber(body, "max_tokens");
  parsed.stream = OptionalFlag(body, "stream");
  parsed.start_limit = Limit(request);
  const std::string prompt = PromptText(body, parsed.format);
  parsed.prompt_tokens =
      1 + static_cast<std::int64_t>(prompt.size() / kBytesPerToken);
  if (parsed.prompt_tokens > kMaxPromptTokens)
    Refuse(error_code::bad_request, "the prompt is too long");
  if (prompt.size() >= kPrefixBytes) {
    parsed.prefix = std::to_string(StableHash(prompt.substr(0, kPrefixBytes)));
    parsed.prefix_tokens = kPrefixBytes / kBytesPerToken;
  }
  parsed.body = request.body;
  parsed.digest =
      Sha256Hex(parsed.service.text() + "\n" + request.body).substr(0, 32);
  return parsed;
}

plain_request ParsePlainRequest(const http_server_request& request,
                                const std::string& service) {
  CheckBody(request);
  ParseBody(request.body);
  plain_request parsed;
  parsed.workspace =
      workspace_id(Name(request.Header("X-Workspace"), "X-Workspace"));
  parsed.service = service_id(Name(service, "the service"));
  parsed.body = request.body;
  parsed.digest = Sha256Hex(service + "\n" + request.body).substr(0, 32);
  parsed.limit = Limit(request);
  const std::string key = request.Header("Idempotency-Key");
  if (!key.empty()) {
    parsed.key = idempotency_key::Parse(key);
    if (!parsed.key)
      Refuse(error_code::bad_request,
             "Idempotency-Key is not a version 7 UUID");
  }
  return parsed;
}

}  // namespace wist
