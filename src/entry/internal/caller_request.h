#ifndef ENTRY_INTERNAL_CALLER_REQUEST_H_
#define ENTRY_INTERNAL_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "claims/claim_types.h"
#include "configuration/configuration_types.h"
#include "framework/http/i_http_server.h"
#include "node/i_request_limits.h"
#include "streams/stream_types.h"

namespace wist {

// A validated request for a generation.
struct generation_request {
  workspace_id workspace;
  service_id service;
  stream_format format = stream_format::completion;
  bool stream = false;
  std::int64_t prompt_tokens = 0;  // Estimated from the prompt's size.
  // Hash of the first bytes of the prompt; empty if the prompt is shorter.
  std::string prefix;
  std::int64_t prefix_tokens = 0;
  std::string body;
  // Hash of service and body; equal for repeated requests.
  std::string digest;
  // How long the caller waits for the first token, if it sent X-Deadline-Ms.
  std::optional<milliseconds> first_token_timeout;

  generation_identity Identity() const { return {digest, prefix}; }
};

// A validated request for a plain service.
struct plain_request {
  workspace_id workspace;
  service_id service;
  std::string body;
  std::string digest;
  std::optional<idempotency_key> key;
  std::optional<milliseconds> timeout;
};

// Parse and validate a request. They throw request_error with verdict not_run.
generation_request ParseGenerationRequest(const http_server_request& request);
plain_request ParsePlainRequest(const http_server_request& request,
                                const std::string& service);

}  // namespace wist

#endif  // ENTRY_INTERNAL_CALLER_REQUEST_H_
