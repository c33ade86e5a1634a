#ifndef ENTRY_INTERNAL_GENERATION_LINK_H_
#define ENTRY_INTERNAL_GENERATION_LINK_H_

#include <memory>
#include <stdexcept>
#include <string>

#include "configuration/configuration_types.h"
#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"
#include "streams/event_reader.h"

namespace wist {

// A generation cannot be had from its target any more.
class generation_lost : public std::runtime_error {
 public:
  generation_lost(bool may_have_run, bool crashed, const std::string& text)
      : std::runtime_error(text),
        may_have_run_(may_have_run),
        crashed_(crashed) {}

  bool may_have_run() const { return may_have_run_; }

  // Whether the target lost its work, as opposed to the link.
  bool crashed() const { return crashed_; }

 private:
  bool may_have_run_;
  bool crashed_;
};

// Reads one generation of a target; a link that breaks or stalls is opened
// again at the same offset. Never reads from another generation.
class generation_link {
 public:
  generation_link(i_http_client& client,
                  const i_clock& clock,
                  const target_spec& target,
                  const std::string& generation,
                  stream_format format);

  // Starts the generation. Throws generation_lost.
  void Start(const http_request& request, timestamp header_deadline);

  // Goes on with a generation that another instance started.
  void ResumeAt(std::int64_t offset);

  // Returns the next event. Throws generation_lost.
  stream_event Next();

  // Offset of the next token.
  std::int64_t offset() const { return offset_; }

  // Drops the link; the generation goes on at the target.
  void Drop();

 private:
  std::optional<stream_event> TryNext();
  void Reopen();

  i_http_client& client_;
  const i_clock& clock_;
  const target_spec target_;
  const std::string generation_;
  const stream_format format_;
  std::int64_t offset_ = 0;
  std::unique_ptr<i_http_stream> stream_;
  std::optional<event_reader> reader_;
};

}  // namespace wist

#endif  // ENTRY_INTERNAL_GENERATION_LINK_H_
