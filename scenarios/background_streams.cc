#include "scenarios/background_streams.h"

#include <nlohmann/json.hpp>

#include "streams/event_reader.h"

namespace wist::scenarios {
namespace {

constexpr seconds kHeaderTimeout{60};
constexpr milliseconds kStallTimeout{60'000};
constexpr std::string_view kIdField = "id: ";
constexpr std::string_view kDataField = "data: ";

}  // namespace

background_streams::background_streams(std::shared_ptr<i_http_client> client,
                                       std::shared_ptr<const i_clock> clock)
    : client_(std::move(client)), clock_(std::move(clock)) {}

background_streams::~background_streams() {
  for (reader& stream : streams_) {
    if (stream.thread.joinable())
      stream.thread.join();
  }
}

std::size_t background_streams::Open(const http_address& address,
                                     const http_request& request) {
  std::lock_guard lock(mutex_);
  reader& stream = streams_.emplace_back();
  stream.thread = std::thread([this, &stream, address, request] {
    ReadStream(stream, address, request);
  });
  return streams_.size() - 1;
}

void background_streams::Resume(std::size_t number,
                                const http_address& address,
                                const http_request& request) {
  reader& stream = streams_[number];
  if (stream.thread.joinable())
    stream.thread.join();
  std::lock_guard lock(mutex_);
  stream.state.ended = false;
  stream.state.error.clear();
  stream.thread = std::thread([this, &stream, address, request] {
    ReadStream(stream, address, request);
  });
}

stream_state background_streams::State(std::size_t number) const {
  std::lock_guard lock(mutex_);
  return streams_[number].state;
}

void background_streams::ReadStream(reader& stream,
                                    http_address address,
                                    http_request request) {
  std::string error;
  try {
    const auto connection = client_->Open(
        address, request, clock_->Now() + kHeaderTimeout, kStallTimeout);
    {
      std::lock_guard lock(mutex_);
      stream.state.status = connection->status();
    }
    std::string id;
    bool error_event = false;
    for (std::string line; connection->ReadLine(line);) {
      std::lock_guard lock(mutex_);
      stream_state& state = stream.state;
      if (connection->status() != 200) {
        state.error_body += line;
      } else if (line.rfind(kIdField, 0) == 0) {
        id = line.substr(kIdField.size());
      } else if (line == "event: error") {
        error_event = true;
      } else if (line.rfind(kDataField, 0) == 0) {
        const std::string data = line.substr(kDataField.size());
        if (data == "[DONE]") {
          state.done = true;
        } else if (error_event) {
          state.error_body = data;
        } else {
          state.texts.push_back(TokenText(data, stream_format::completion));
          state.last_event_id = id;
        }
      }
    }
  } catch (const std::exception& failure) {
    error = failure.what();
  }
  std::lock_guard lock(mutex_);
  stream.state.error = error;
  stream.state.ended = true;
}

}  // namespace wist::scenarios
