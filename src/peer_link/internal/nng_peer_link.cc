#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "peer_link/internal/peer_codec.h"
#include "peer_link/peer_link_module.h"

namespace wist {
namespace {

// Number of calls served concurrently. A forwarded claim occupies a context
// until the store has responded, and gossip must not wait for it.
constexpr int kServerContexts = 16;
constexpr std::size_t kMaxSockets = 64;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 500;

void ThrowOnError(int result, const std::string& action) {
  if (result != 0)
    throw peer_error(action + ": " + nng_strerror(result));
}

std::string Url(const std::string& address) {
  return "tcp://" + address;
}

// A socket that dials one address.
class dialed_socket {
 public:
  explicit dialed_socket(const std::string& address) {
    ThrowOnError(nng_req0_open(&socket_), "open");
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    const int result =
        nng_dial(socket_, Url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (result != 0) {
      nng_close(socket_);
      ThrowOnError(result, "dial " + address);
    }
  }
  ~dialed_socket() { nng_close(socket_); }
  dialed_socket(const dialed_socket&) = delete;
  dialed_socket& operator=(const dialed_socket&) = delete;

  nng_socket get() const { return socket_; }

 private:
  nng_socket socket_{};
};

// An asynchronous nng operation whose completion is waited for.
class aio_operation {
 public:
  aio_operation() {
    ThrowOnError(nng_aio_alloc(&aio_, nullptr, nullptr), "allocate");
  }
  ~aio_operation() { nng_aio_free(aio_); }
  aio_operation(const aio_operation&) = delete;
  aio_operation& operator=(const aio_operation&) = delete;

  void SetTimeout(nng_duration timeout_ms) {
    nng_aio_set_timeout(aio_, timeout_ms);
  }

  // Sends `bytes` as one message and returns nng's result code.
  int Send(nng_ctx context, const std::string& bytes) {
    nng_msg* message = nullptr;
    const int allocated = nng_msg_alloc(&message, 0);
    if (allocated != 0)
      return allocated;
    nng_msg_append(message, bytes.data(), bytes.size());
    nng_aio_set_msg(aio_, message);
    nng_ctx_send(context, aio_);
    nng_aio_wait(aio_);
    const int result = nng_aio_result(aio_);
    if (result != 0)
      nng_msg_free(message);
    return result;
  }

  int Receive(nng_ctx context, std::string& bytes) {
    nng_ctx_recv(context, aio_);
    nng_aio_wait(aio_);
    const int result = nng_aio_result(aio_);
    if (result != 0)
      return result;
    nng_msg* message = nng_aio_get_msg(aio_);
    bytes.assign(static_cast<const char*>(nng_msg_body(message)),
                 nng_msg_len(message));
    nng_msg_free(message);
    return 0;
  }

 private:
  nng_aio* aio_ = nullptr;
};

// One request and its response on a socket that other threads may use
// concurrently.
class request_context {
 public:
  explicit request_context(nng_socket socket) {
    ThrowOnError(nng_ctx_open(&context_, socket), "open a context");
  }
  ~request_context() { nng_ctx_close(context_); }
  request_context(const request_context&) = delete;
  request_context& operator=(const request_context&) = delete;

  std::string Exchange(const std::string& request, milliseconds timeout) {
    aio_operation aio;
    aio.SetTimeout(static_cast<nng_duration>(timeout.count()));
    ThrowOnError(aio.Send(context_, request), "send");
    std::string response;
    ThrowOnError(aio.Receive(context_, response), "receive");
    return response;
  }

 private:
  nng_ctx context_{};
};

class nng_peer_link final : public i_peer_link {
 public:
  nng_peer_link(std::shared_ptr<const i_clock> clock,
                std::shared_ptr<const i_keyring> keys,
                const domain_id& sender_domain)
      : clock_(std::move(clock)),
        keys_(std::move(keys)),
        sender_domain_(sender_domain) {}

  peer_response Call(const std::string& address,
                     const peer_call& call,
                     timestamp deadline) override {
    const std::string request = EncodeCall(*keys_, {sender_domain_, call});
    const std::shared_ptr<dialed_socket> socket = SocketFor(address);
    const auto timeout = std::max(
        milliseconds(1),
        std::chrono::duration_cast<milliseconds>(deadline - clock_->Now()));
    const std::string response =
        request_context(socket->get()).Exchange(request, timeout);
    bytes_transferred_ += request.size() + response.size();
    return DecodeResponse(*keys_, response);
  }

  std::uint64_t BytesTransferred() const override { return bytes_transferred_; }

 private:
  struct cached_socket {
    std::shared_ptr<dialed_socket> socket;
    timestamp used_at;
  };

  std::shared_ptr<dialed_socket> SocketFor(const std::string& address) {
    std::lock_guard lock(mutex_);
    const timestamp now = clock_->Now();
    const auto found = sockets_.find(address);
    if (found != sockets_.end()) {
      found->second.used_at = now;
      return found->second.socket;
    }
    if (sockets_.size() >= kMaxSockets)
      EvictLeastRecentlyUsed();
    auto socket = std::make_shared<dialed_socket>(address);
    sockets_[address] = {socket, now};
    return socket;
  }

  void EvictLeastRecentlyUsed() {
    const auto least_recent = std::min_element(
        sockets_.begin(), sockets_.end(), [](const auto& a, const auto& b) {
          return a.second.used_at < b.second.used_at;
        });
    sockets_.erase(least_recent);
  }

  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<const i_keyring> keys_;
  const domain_id sender_domain_;
  std::mutex mutex_;
  std::map<std::string, cached_socket> sockets_;
  std::atomic<std::uint64_t> bytes_transferred_ = 0;
};

class nng_peer_server final : public i_peer_server {
 public:
  nng_peer_server(const std::string& address,
                  std::shared_ptr<const i_keyring> keys,
                  peer_call_handler handler)
      : keys_(std::move(keys)), handler_(std::move(handler)) {
    ThrowOnError(nng_rep0_open(&socket_), "open");
    const int result = nng_listen(socket_, Url(address).c_str(), nullptr, 0);
    if (result != 0) {
      nng_close(socket_);
      ThrowOnError(result, "listen on " + address);
    }
    for (int i = 0; i < kServerContexts; ++i)
      threads_.emplace_back([this] { Serve(); });
  }

  ~nng_peer_server() override {
    nng_close(socket_);
    for (std::thread& thread : threads_)
      thread.join();
  }

  std::uint64_t BytesTransferred() const override { return bytes_transferred_; }

 private:
  void Serve() {
    nng_ctx context{};
    if (nng_ctx_open(&context, socket_) != 0)
      return;
    aio_operation aio;
    aio.SetTimeout(NNG_DURATION_INFINITE);
    std::string request;
    while (aio.Receive(context, request) == 0) {
      const std::string response = HandleRequest(request);
      bytes_transferred_ += request.size() + response.size();
      aio.Send(context, response);
    }
    nng_ctx_close(context);
  }

  // A message that cannot be decoded gets a refusal. The sender proceeds as if
  // this instance could not be reached.
  std::string HandleRequest(const std::string& request) {
    try {
      return EncodeResponse(*keys_, handler_(DecodeCall(*keys_, request)));
    } catch (const peer_error&) {
      return EncodeResponse(*keys_, refusal_response{});
    }
  }

  const std::shared_ptr<const i_keyring> keys_;
  const peer_call_handler handler_;
  nng_socket socket_{};
  std::vector<std::thread> threads_;
  std::atomic<std::uint64_t> bytes_transferred_ = 0;
};

}  // namespace

std::shared_ptr<i_peer_link> MakePeerLink(std::shared_ptr<const i_clock> clock,
                                          std::shared_ptr<const i_keyring> keys,
                                          const domain_id& sender_domain) {
  return std::make_shared<nng_peer_link>(std::move(clock), std::move(keys),
                                         sender_domain);
}

std::unique_ptr<i_peer_server> MakePeerServer(
    const std::string& address,
    std::shared_ptr<const i_keyring> keys,
    peer_call_handler handler) {
  return std::make_unique<nng_peer_server>(address, std::move(keys),
                                           std::move(handler));
}

}  // namespace wist
