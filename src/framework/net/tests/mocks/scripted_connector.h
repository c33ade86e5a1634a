#ifndef FRAMEWORK_NET_TESTS_MOCKS_SCRIPTED_CONNECTOR_H_
#define FRAMEWORK_NET_TESTS_MOCKS_SCRIPTED_CONNECTOR_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "framework/net/i_channel.h"

namespace wist {

// A channel whose remote end is simulated by a test.
class scripted_channel final : public i_channel {
 public:
  void SetCallbacks(channel_callbacks callbacks) override {
    callbacks_ = std::move(callbacks);
  }
  void Write(std::string bytes) override { written += bytes; }
  std::size_t UnsentBytes() const override { return unsent; }
  bool HasSentBytes() const override { return !written.empty() && connected; }
  void Close() override {
    closed = true;
    callbacks_ = {};
  }
  void Abort() override {
    aborted = true;
    callbacks_ = {};
  }

  // Simulate events from the remote end.
  void Open() {
    const auto on_connected = std::exchange(callbacks_.on_connected, nullptr);
    if (on_connected)
      on_connected();
  }
  void Receive(const std::string& bytes) {
    Open();
    const auto on_data = callbacks_.on_data;
    if (on_data)
      on_data(bytes);
  }
  void End(channel_end end) {
    const auto on_end = std::move(callbacks_.on_end);
    callbacks_ = {};
    if (on_end)
      on_end(end);
  }

  bool open() const { return !closed && !aborted; }

  std::string written;
  std::size_t unsent = 0;
  bool connected = true;
  bool closed = false;
  bool aborted = false;

 private:
  channel_callbacks callbacks_;
};

// Creates scripted channels and records them in order.
class scripted_connector final : public i_connector {
 public:
  std::shared_ptr<i_channel> Connect(const http_address& address,
                                     timestamp,
                                     channel_callbacks callbacks) override {
    auto channel = std::make_shared<scripted_channel>();
    channel->SetCallbacks(std::move(callbacks));
    channels.push_back(channel);
    addresses.push_back(address);
    return channel;
  }

  std::vector<std::shared_ptr<scripted_channel>> channels;
  std::vector<http_address> addresses;
};

}  // namespace wist

#endif  // FRAMEWORK_NET_TESTS_MOCKS_SCRIPTED_CONNECTOR_H_
