#include <algorithm>
#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include "framework/net/i_http_caller.h"

namespace wist {
namespace {

// Kept for each call in progress until the head is complete.
constexpr std::size_t kMaxResponseHeadBytes = 16'384;

// An idle channel is no longer reused this long before the server's keep-alive
// timeout, so that no request is sent on a channel that the server is closing.
constexpr milliseconds kKeepAliveMargin{500};

// Used when the server sends no keep-alive timeout.
constexpr milliseconds kDefaultKeepAlive{4000};

// A longer keep-alive timeout, in seconds, may be out of range.
constexpr std::int64_t kMaxKeepAliveS = 3600;

// Keeps the idle channels of all instances together below the number of
// connections that a target accepts.
constexpr std::size_t kMaxIdlePerAddress = 8;

// Start of an encoded request whose response has no body.
constexpr std::string_view kHeadRequest = "HEAD ";

// Rules that a server breaks which responds more than once.
constexpr char kOtherRequestRule[] = "other_request";
constexpr char kSurplusBytesRule[] = "surplus_bytes";

// Returns the value of "timeout=N" in the Keep-Alive header, or the default.
milliseconds ParseKeepAlive(const http_response_head& head) {
  const std::string_view value = head.Header("Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos)
    return kDefaultKeepAlive;
  std::int64_t timeout_s = 0;
  const char* first = value.data() + at + kName.size();
  const auto [end, error] =
      std::from_chars(first, value.data() + value.size(), timeout_s);
  if (error != std::errc())
    return kDefaultKeepAlive;
  return seconds(std::min(timeout_s, kMaxKeepAliveS));
}

struct idle_channel {
  std::shared_ptr<i_channel> channel;
  timestamp idle_since;
  timestamp close_deadline;
};

// Open channels that no call is using.
class idle_channel_pool
    : public std::enable_shared_from_this<idle_channel_pool> {
 public:
  idle_channel_pool(i_scheduler& scheduler, invalid_response_observer observer)
      : scheduler_(scheduler), observer_(std::move(observer)) {}

  // `last_call` is the one whose response was received last.
  void Add(const http_address& address,
           std::shared_ptr<i_channel> channel,
           milliseconds keep_alive,
           const call_label& last_call) {
    const timestamp now = scheduler_.Now();
    if (keep_alive <= kKeepAliveMargin)
      return channel->Close();
    auto& idle = idle_[address];
    CloseExpired(idle, now);
    if (idle.size() >= kMaxIdlePerAddress)
      return channel->Close();
    // Bytes that arrive while no call is in progress belong to no response, so
    // the channel is aborted.
    const auto remove = [weak = weak_from_this(), address,
                         raw = channel.get()](bool abort) {
      if (const auto self = weak.lock())
        self->Remove(address, raw, abort);
    };
    channel->SetCallbacks(
        {[remove, weak = weak_from_this(), last_call](std::string_view) {
           if (const auto self = weak.lock())
             self->Report(last_call, kSurplusBytesRule);
           remove(true);
         },
         [remove](channel_end) { remove(false); }});
    idle.push_back(
        {std::move(channel), now, now + keep_alive - kKeepAliveMargin});
  }

  // Returns the most recently used channel, or null if there is none that has
  // been idle for less than `max_idle`.
  std::shared_ptr<i_channel> Acquire(const http_address& address,
                                     milliseconds max_idle) {
    const auto found = idle_.find(address);
    if (found == idle_.end())
      return nullptr;
    const timestamp now = scheduler_.Now();
    CloseExpired(found->second, now);
    if (found->second.empty())
      return nullptr;
    if (now >= found->second.back().idle_since + max_idle)
      return nullptr;
    auto channel = std::move(found->second.back().channel);
    found->second.pop_back();
    return channel;
  }

  void CloseChannels(const http_address& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end())
      return;
    for (idle_channel& idle : found->second)
      idle.channel->Close();
    idle_.erase(found);
  }

  // Reports a response that broke the rule with this name.
  void Report(const call_label& call, std::string rule) const {
    if (observer_)
      observer_({call, std::move(rule)});
  }

 private:
  static void CloseExpired(std::vector<idle_channel>& idle, timestamp now) {
    std::erase_if(idle, [&](idle_channel& entry) {
      if (now < entry.close_deadline)
        return false;
      entry.channel->Close();
      return true;
    });
  }

  void Remove(const http_address& address,
              const i_channel* channel,
              bool abort) {
    auto& idle = idle_[address];
    const auto found =
        std::find_if(idle.begin(), idle.end(), [&](const idle_channel& entry) {
          return entry.channel.get() == channel;
        });
    if (found == idle.end())
      return;
    const auto removed = found->channel;
    idle.erase(found);
    if (abort)
      removed->Abort();
  }

  i_scheduler& scheduler_;
  const invalid_response_observer observer_;
  std::map<http_address, std::vector<idle_channel>> idle_;
};

class http_call final : public i_http_call,
                        public std::enable_shared_from_this<http_call> {
 public:
  http_call(http_address address,
            std::shared_ptr<idle_channel_pool> pool,
            call_callbacks callbacks,
            const call_options& options,
            bool is_head_request)
      : address_(std::move(address)),
        pool_(std::move(pool)),
        callbacks_(std::move(callbacks)),
        reader_limits_{kMaxResponseHeadBytes, options.max_body_bytes},
        is_head_request_(is_head_request),
        label_(options.label),
        reader_(MakeHttpResponseReader(reader_limits_, is_head_request_)) {}

  void StartOnIdleChannel(std::shared_ptr<i_channel> channel,
                          std::string request) {
    channel_ = std::move(channel);
    channel_->SetCallbacks(Callbacks());
    channel_->Write(std::move(request));
    reused_ = true;
  }

  void StartOnNewChannel(i_connector& connector,
                         timestamp deadline,
                         std::string request) {
    channel_ = connector.Connect(address_, deadline, Callbacks());
    channel_->Write(std::move(request));
  }

  void Cancel() override {
    callbacks_ = {};
    if (channel_)
      std::exchange(channel_, nullptr)->Abort();
  }

  bool MayHaveBeenSent() const override {
    // For a reused channel HasSentBytes is always true because of earlier
    // calls.
    return reused_ || (channel_ && channel_->HasSentBytes());
  }

 private:
  channel_callbacks Callbacks() {
    // The callbacks keep the call alive as long as the channel. Cancel and the
    // end of the call break this reference cycle.
    return {[self = shared_from_this()](std::string_view bytes) {
              self->OnData(bytes);
            },
            [self = shared_from_this()](channel_end end) { self->OnEnd(end); },
            [self = shared_from_this()] {
              if (self->callbacks_.on_connected)
                self->callbacks_.on_connected();
            }};
  }

  void OnData(std::string_view bytes) {
    const auto self = shared_from_this();
    while (channel_) {
      const std::size_t consumed = reader_->Feed(bytes);
      bytes.remove_prefix(consumed);
      if (const auto rule = reader_->broken_rule())
        return OnInvalidResponse(*rule);
      if (!has_seen_head_ && reader_->state() != response_state::head_missing)
        OnHead();
      if (!channel_)
        return;
      std::string body = reader_->TakeBody();
      if (!is_skipping_response_ && !body.empty() && callbacks_.on_body)
        callbacks_.on_body(std::move(body));
      if (!channel_ || reader_->state() != response_state::complete)
        return;
      if (!is_skipping_response_)
        return Complete(!bytes.empty());
      reader_ = MakeHttpResponseReader(reader_limits_, is_head_request_);
      has_seen_head_ = false;
      is_skipping_response_ = false;
      if (bytes.empty())
        return;
    }
  }

  void OnHead() {
    has_seen_head_ = true;
    is_skipping_response_ =
        callbacks_.matches_call &&
        !callbacks_.matches_call(reader_->head(),
                                 reused_ || has_skipped_response_);
    has_skipped_response_ = has_skipped_response_ || is_skipping_response_;
    if (is_skipping_response_)
      pool_->Report(label_, kOtherRequestRule);
    if (!is_skipping_response_ && callbacks_.on_head)
      callbacks_.on_head(reader_->head());
  }

  void Complete(bool extra_bytes) {
    const http_response_head& head = reader_->head();
    const bool keep = head.keep_alive && !extra_bytes &&
                      !has_skipped_response_ && channel_->UnsentBytes() == 0;
    const auto channel = std::exchange(channel_, nullptr);
    if (extra_bytes)
      pool_->Report(label_, kSurplusBytesRule);
    if (keep)
      pool_->Add(address_, channel, ParseKeepAlive(head), label_);
    else if (extra_bytes || channel->UnsentBytes() > 0)
      channel->Abort();
    else
      channel->Close();
    Finish({call_end::complete, true});
  }

  void OnEnd(channel_end end) {
    const bool may_have_been_sent = MayHaveBeenSent();
    channel_.reset();
    if (end == channel_end::connect_failed)
      return Finish({call_end::connect_failed, false});
    if (end == channel_end::closed && !is_skipping_response_) {
      reader_->FeedEnd();
      if (reader_->state() == response_state::complete)
        return Finish({call_end::complete, true});
    }
    Finish({call_end::broken, may_have_been_sent});
  }

  void OnInvalidResponse(response_rule rule) {
    const bool may_have_been_sent = MayHaveBeenSent();
    std::exchange(channel_, nullptr)->Abort();
    pool_->Report(label_, std::string(ResponseRuleName(rule)));
    Finish({call_end::malformed, may_have_been_sent});
  }

  void Finish(call_outcome outcome) {
    const auto on_done = std::move(callbacks_.on_done);
    callbacks_ = {};
    if (on_done)
      on_done(outcome);
  }

  const http_address address_;
  const std::shared_ptr<idle_channel_pool> pool_;
  call_callbacks callbacks_;
  const http_reader_limits reader_limits_;
  const bool is_head_request_;
  const call_label label_;
  std::unique_ptr<i_http_response_reader> reader_;
  std::shared_ptr<i_channel> channel_;
  bool has_seen_head_ = false;
  bool is_skipping_response_ = false;
  bool has_skipped_response_ = false;
  bool reused_ = false;
};

class http_caller final : public i_http_caller {
 public:
  http_caller(i_connector& connector,
              i_scheduler& scheduler,
              invalid_response_observer observer)
      : connector_(connector),
        pool_(std::make_shared<idle_channel_pool>(scheduler,
                                                  std::move(observer))) {}

  std::shared_ptr<i_http_call> Call(const http_address& address,
                                    std::string request,
                                    const call_options& options,
                                    call_callbacks callbacks) override {
    auto call =
        std::make_shared<http_call>(address, pool_, std::move(callbacks),
                                    options, request.starts_with(kHeadRequest));
    if (auto pooled = pool_->Acquire(address, options.max_idle)) {
      call->StartOnIdleChannel(std::move(pooled), std::move(request));
      return call;
    }
    call->StartOnNewChannel(connector_, options.connect_deadline,
                            std::move(request));
    return call;
  }

  void CloseIdleChannels(const http_address& address) override {
    pool_->CloseChannels(address);
  }

 private:
  i_connector& connector_;
  // Shared with the calls, which may outlive this object.
  const std::shared_ptr<idle_channel_pool> pool_;
};

}  // namespace

std::unique_ptr<i_http_caller> MakeHttpCaller(
    i_connector& connector,
    i_scheduler& scheduler,
    invalid_response_observer observer) {
  return std::make_unique<http_caller>(connector, scheduler,
                                       std::move(observer));
}

}  // namespace wist
