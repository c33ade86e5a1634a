#ifndef ENTRY_INTERNAL_GENERATION_STREAM_H_
#define ENTRY_INTERNAL_GENERATION_STREAM_H_

#include <memory>
#include <stdexcept>
#include <string>

#include "configuration/configuration_types.h"
#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"
#include "streams/event_reader.h"

namespace wist {

// The generation can no longer be read from its target.
class generation_lost : public std::runtime_error {
 public:
  generation_lost(bool may_have_run,
                  bool target_crashed,
                  const std::string& text)
      : std::runtime_error(text),
        may_have_run_(may_have_run),
        target_crashed_(target_crashed) {}

  bool may_have_run() const { return may_have_run_; }

  // Whether the target itself crashed, as opposed to a connection failure.
  bool target_crashed() const { return target_crashed_; }

 private:
  bool may_have_run_;
  bool target_crashed_;
};

// Reads the event stream of one generation from its target. Reconnects at the
// same offset if the connection breaks or stalls. Never reads events of another
// generation.
class generation_stream {
 public:
  generation_stream(i_http_client& client,
                    const i_clock& clock,
                    const target_spec& target,
                    const std::string& generation,
                    const std::string& request_id,
                    stream_format format);

  // Starts the generation. Throws generation_lost.
  void Start(http_request request, timestamp header_deadline);

  // Continues a generation, which another instance may have started. Throws
  // generation_lost.
  void ResumeAt(std::int64_t offset);

  // Returns the next event. Throws generation_lost.
  stream_event Next();

  // Returns the offset of the next token.
  std::int64_t offset() const { return offset_; }

  // Closes the connection. The generation continues at the target.
  void Close();

 private:
  std::optional<stream_event> TryReadEvent();
  void OnBrokenResponse(const std::string& text);
  void Reconnect();

  i_http_client& client_;
  const i_clock& clock_;
  const target_spec target_;
  const std::string generation_;
  const call_label label_;
  const stream_format format_;
  std::int64_t offset_ = 0;
  // Responses in a row that were invalid or ended without a further event.
  int broken_responses_ = 0;
  std::unique_ptr<i_http_stream> stream_;
  std::optional<event_reader> reader_;
};

}  // namespace wist

#endif  // ENTRY_INTERNAL_GENERATION_STREAM_H_
