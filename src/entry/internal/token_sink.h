#ifndef ENTRY_INTERNAL_TOKEN_SINK_H_
#define ENTRY_INTERNAL_TOKEN_SINK_H_

#include <string>
#include <variant>

#include "framework/http/i_http_server.h"
#include "framework/keys/i_keyring.h"
#include "streams/stream_types.h"
#include "verdict/verdict_types.h"

namespace wist {

// Streams each token to the caller as it arrives.
class streaming_sink {
 public:
  streaming_sink(i_http_responder& responder,
                 const i_keyring& keys,
                 std::string request_id)
      : responder_(&responder),
        keys_(&keys),
        request_id_(std::move(request_id)) {}

  // Throws http_client_disconnected if the caller has disconnected.
  void WriteToken(const resume_point& generation, const token_event& token);
  void Finish(const resume_point& generation);

  // Ends the started stream with an error event.
  void Fail(const request_error& error);

 private:
  void BeginStreamIfNeeded(const resume_point& generation);

  i_http_responder* responder_;
  const i_keyring* keys_;
  std::string request_id_;
};

// Collects the tokens and sends them as one response.
class buffered_sink {
 public:
  buffered_sink(i_http_responder& responder, std::string request_id)
      : responder_(&responder), request_id_(std::move(request_id)) {}

  void WriteToken(const resume_point& generation, const token_event& token);
  void Finish(const resume_point& generation);

  // Throws `error`, because the response has not been started.
  void Fail(const request_error& error);

 private:
  i_http_responder* responder_;
  std::string request_id_;
  std::string text_;
  std::int64_t tokens_ = 0;
};

using token_sink = std::variant<streaming_sink, buffered_sink>;

}  // namespace wist

#endif  // ENTRY_INTERNAL_TOKEN_SINK_H_
