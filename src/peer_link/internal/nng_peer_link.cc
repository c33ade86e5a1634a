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

// Forwarded claims are answered when the store did; gossip goes on meanwhile.
constexpr int kServerContexts = 16;
constexpr std::size_t kMostSockets = 64;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 500;

void Check(int result, const std::string& what) {
  if (result != 0)
    throw peer_error(what + ": " + nng_strerror(result));
}

std::string Url(const std::string& address) {
  return "tcp://" + address;
}

// A socket that dials one address.
class dialed_socket {
 public:
  explicit dialed_socket(const std::string& address) {
    Check(nng_req0_open(&socket_), "open");
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    const int result =
        nng_dial(socket_, Url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (result != 0) {
      nng_close(socket_);
      Check(result, "dial " + address);
    }
  }
  ~dialed_socket() { nng_close(socket_); }
  dialed_socket(const dialed_socket&) = delete;
  dialed_socket& operator=(const dialed_socket&) = delete;

  nng_socket get() const { return socket_; }

 private:
  nng_socket socket_{};
};

// An operation of the library whose end is waited for.
class operation {
 public:
  operation() { Check(nng_aio_alloc(&aio_, nullptr, nullptr), "allocate"); }
  ~operation() { nng_aio_free(aio_); }
  operation(const operation&) = delete;
  operation& operator=(const operation&) = delete;

  void SetLimit(nng_duration limit_ms) { nng_aio_set_timeout(aio_, limit_ms); }

  // Sends `bytes` as one message; returns the library's result.
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

// One request and its reply on a socket that others may use at once.
class call_context {
 public:
  explicit call_context(nng_socket socket) {
    Check(nng_ctx_open(&context_, socket), "open a context");
  }
  ~call_context() { nng_ctx_close(context_); }
  call_context(const call_context&) = delete;
  call_context& operator=(const call_context&) = delete;

  std::string Exchange(const std::string& request, milliseconds limit) {
    operation step;
    step.SetLimit(static_cast<nng_duration>(limit.count()));
    Check(step.Send(context_, request), "send");
    std::string reply;
    Check(step.Receive(context_, reply), "receive");
    return reply;
  }

 private:
  nng_ctx context_{};
};

class nng_peer_link final : public i_peer_link {
 public:
  nng_peer_link(std::shared_ptr<const i_clock> clock,
                std::shared_ptr<const i_keyring> keys,
                const domain_id& from)
      : clock_(std::move(clock)), keys_(std::move(keys)), from_(from) {}

  peer_answer Call(const std::string& address,
                   const peer_call& call,
                   timestamp deadline) override {
    const std::string request = EncodeCall(*keys_, {from_, call});
    const std::shared_ptr<dialed_socket> socket = SocketFor(address);
    const auto limit = std::max(
        milliseconds(1),
        std::chrono::duration_cast<milliseconds>(deadline - clock_->Now()));
    const std::string reply =
        call_context(socket->get()).Exchange(request, limit);
    bytes_moved_ += request.size() + reply.size();
    return DecodeAnswer(*keys_, reply);
  }

  std::uint64_t BytesMoved() const override { return bytes_moved_; }

 private:
  struct used_socket {
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
    if (sockets_.size() >= kMostSockets)
      DropLeastRecent();
    auto socket = std::make_shared<dialed_socket>(address);
    sockets_[address] = {socket, now};
    return socket;
  }

  void DropLeastRecent() {
    const auto oldest = std::min_element(
        sockets_.begin(), sockets_.end(), [](const auto& a, const auto& b) {
          return a.second.used_at < b.second.used_at;
        });
    sockets_.erase(oldest);
  }

  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<const i_keyring> keys_;
  const domain_id from_;
  std::mutex mutex_;
  std::map<std::string, used_socket> sockets_;
  std::atomic<std::uint64_t> bytes_moved_ = 0;
};

class nng_peer_server final : public i_peer_server {
 public:
  nng_peer_server(const std::string& address,
                  std::shared_ptr<const i_keyring> keys,
                  peer_handler handler)
      : keys_(std::move(keys)), handler_(std::move(handler)) {
    Check(nng_rep0_open(&socket_), "open");
    const int result = nng_listen(socket_, Url(address).c_str(), nullptr, 0);
    if (result != 0) {
      nng_close(socket_);
      Check(result, "listen on " + address);
    }
    for (int i = 0; i < kServerContexts; ++i)
      threads_.emplace_back([this] { Serve(); });
  }

  ~nng_peer_server() override {
    nng_close(socket_);
    for (std::thread& thread : threads_)
      thread.join();
  }

  std::uint64_t BytesMoved() const override { return bytes_moved_; }

 private:
  void Serve() {
    nng_ctx context{};
    if (nng_ctx_open(&context, socket_) != 0)
      return;
    operation step;
    step.SetLimit(NNG_DURATION_INFINITE);
    std::string request;
    while (step.Receive(context, request) == 0) {
      const std::string reply = Answer(request);
      bytes_moved_ += request.size() + reply.size();
      step.Send(context, reply);
    }
    nng_ctx_close(context);
  }

  // A message that is not understood gets a refusal: the caller goes on as if
  // this instance could not be reached.
  std::string Answer(const std::string& request) {
    try {
      return EncodeAnswer(*keys_, handler_(DecodeCall(*keys_, request)));
    } catch (const peer_error&) {
      return EncodeAnswer(*keys_, refusal_answer{});
    }
  }

  const std::shared_ptr<const i_keyring> keys_;
  const peer_handler handler_;
  nng_socket socket_{};
  std::vector<std::thread> threads_;
  std::atomic<std::uint64_t> bytes_moved_ = 0;
};

}  // namespace

std::shared_ptr<i_peer_link> MakePeerLink(std::shared_ptr<const i_clock> clock,
                                          std::shared_ptr<const i_keyring> keys,
                                          const domain_id& from) {
  return std::make_shared<nng_peer_link>(std::move(clock), std::move(keys),
                                         from);
}

std::unique_ptr<i_peer_server> MakePeerServer(
    const std::string& address,
    std::shared_ptr<const i_keyring> keys,
    peer_handler handler) {
  return std::make_unique<nng_peer_server>(address, std::move(keys),
                                           std::move(handler));
}

}  // namespace wist
