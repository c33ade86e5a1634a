#include <algorithm>
#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include "framework/net/i_http_caller.h"

namespace wist {
namespace {

// Largest head of an answer, in bytes.
constexpr std::size_t kMaxAnswerHead = 65'536;

// A kept channel is given up this long before its other side closes it.
constexpr milliseconds kKeepAliveMargin{500};

// How long a channel is kept when the other side names no time.
constexpr milliseconds kDefaultKeepAlive{4000};

// Kept channels to one address at the most: all instances together stay below
// what a target accepts.
constexpr std::size_t kMaxIdlePerAddress = 8;

// Reads "timeout=N" of a Keep-Alive header.
milliseconds KeepAliveOf(const http_answer_head& head) {
  const std::string_view value = head.Header("Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos)
    return kDefaultKeepAlive;
  std::int64_t given = 0;
  const char* first = value.data() + at + kName.size();
  const auto [end, error] =
      std::from_chars(first, value.data() + value.size(), given);
  if (error != std::errc())
    return kDefaultKeepAlive;
  return seconds(given);
}

struct idle_channel {
  std::shared_ptr<i_channel> channel;
  timestamp idle_since;
  timestamp close_deadline;
};

// Channels that wait for their next call.
class idle_pool : public std::enable_shared_from_this<idle_pool> {
 public:
  explicit idle_pool(i_scheduler& scheduler) : scheduler_(scheduler) {}

  void Keep(const http_address& address,
            std::shared_ptr<i_channel> channel,
            milliseconds keep_alive) {
    const timestamp now = scheduler_.Now();
    if (keep_alive <= kKeepAliveMargin)
      return channel->Close();
    auto& idle = idle_[address];
    DropStale(idle, now);
    if (idle.size() >= kMaxIdlePerAddress)
      return channel->Close();
    // Bytes that come without a call belong to none: the channel is given up.
    const auto drop = [weak = weak_from_this(), address,
                       raw = channel.get()](bool abort) {
      if (const auto self = weak.lock())
        self->Drop(address, raw, abort);
    };
    channel->SetCallbacks({[drop](std::string_view) { drop(true); },
                           [drop](channel_end) { drop(false); }});
    idle.push_back(
        {std::move(channel), now, now + keep_alive - kKeepAliveMargin});
  }

  // Returns the channel that was used last; null if there is none.
  std::shared_ptr<i_channel> Take(const http_address& address,
                                  milliseconds max_idle) {
    const auto found = idle_.find(address);
    if (found == idle_.end())
      return nullptr;
    const timestamp now = scheduler_.Now();
    DropStale(found->second, now);
    if (found->second.empty())
      return nullptr;
    if (now >= found->second.back().idle_since + max_idle)
      return nullptr;
    auto channel = std::move(found->second.back().channel);
    found->second.pop_back();
    return channel;
  }

  void Forget(const http_address& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end())
      return;
    for (idle_channel& idle : found->second)
      idle.channel->Close();
    idle_.erase(found);
  }

 private:
  static void DropStale(std::vector<idle_channel>& idle, timestamp now) {
    std::erase_if(idle, [&](idle_channel& kept) {
      if (now < kept.close_deadline)
        return false;
      kept.channel->Close();
      return true;
    });
  }

  void Drop(const http_address& address, const i_channel* channel, bool abort) {
    auto& idle = idle_[address];
    const auto found =
        std::find_if(idle.begin(), idle.end(), [&](const idle_channel& kept) {
          return kept.channel.get() == channel;
        });
    if (found == idle.end())
      return;
    const auto kept = found->channel;
    idle.erase(found);
    if (abort)
      kept->Abort();
  }

  i_scheduler& scheduler_;
  std::map<http_address, std::vector<idle_channel>> idle_;
};

class http_call final : public i_http_call,
                        public std::enable_shared_from_this<http_call> {
 public:
  http_call(http_address address,
            std::shared_ptr<idle_pool> pool,
            call_callbacks callbacks)
      : address_(std::move(address)),
        pool_(std::move(pool)),
        callbacks_(std::move(callbacks)),
        reader_(MakeHttpAnswerReader(kMaxAnswerHead)) {}

  void Use(std::shared_ptr<i_channel> channel, std::string request) {
    channel_ = std::move(channel);
    channel_->SetCallbacks(Callbacks());
    channel_->Write(std::move(request));
    reused_ = true;
  }

  void Open(i_connector& connector, timestamp deadline, std::string request) {
    channel_ = connector.Connect(address_, deadline, Callbacks());
    channel_->Write(std::move(request));
  }

  void Cancel() override {
    callbacks_ = {};
    if (channel_)
      std::exchange(channel_, nullptr)->Abort();
  }

  bool MayHaveLeft() const override {
    // A reused channel has sent bytes of earlier calls: it cannot tell.
    return reused_ || (channel_ && channel_->SentAny());
  }

 private:
  channel_callbacks Callbacks() {
    // The channel keeps the call alive, and Cancel breaks the circle.
    return {[self = shared_from_this()](std::string_view bytes) {
              self->OnData(bytes);
            },
            [self = shared_from_this()](channel_end end) { self->OnEnd(end); }};
  }

  void OnData(std::string_view bytes) {
    const auto self = shared_from_this();
    while (channel_) {
      const std::size_t used = reader_->Feed(bytes);
      bytes.remove_prefix(used);
      if (reader_->state() == answer_state::malformed)
        return Fail(call_end::malformed);
      if (!head_seen_ && reader_->state() != answer_state::head_missing)
        OnHead();
      if (!channel_)
        return;
      std::string body = reader_->TakeBody();
      if (!skipping_ && !body.empty() && callbacks_.on_body)
        callbacks_.on_body(std::move(body));
      if (!channel_ || reader_->state() != answer_state::complete)
        return;
      if (!skipping_)
        return Complete(!bytes.empty());
      reader_ = MakeHttpAnswerReader(kMaxAnswerHead);
      head_seen_ = false;
      skipping_ = false;
      if (bytes.empty())
        return;
    }
  }

  void OnHead() {
    head_seen_ = true;
    skipping_ = callbacks_.accepts && !callbacks_.accepts(reader_->head());
    skipped_any_ = skipped_any_ || skipping_;
    if (!skipping_ && callbacks_.on_head)
      callbacks_.on_head(reader_->head());
  }

  void Complete(bool extra_bytes) {
    const http_answer_head& head = reader_->head();
    const bool keep = head.keep_alive && !extra_bytes && !skipped_any_ &&
                      channel_->UnsentBytes() == 0;
    const auto channel = std::exchange(channel_, nullptr);
    if (keep)
      pool_->Keep(address_, channel, KeepAliveOf(head));
    else if (extra_bytes || channel->UnsentBytes() > 0)
      channel->Abort();
    else
      channel->Close();
    Done({call_end::complete, true});
  }

  void OnEnd(channel_end end) {
    const bool left = MayHaveLeft();
    channel_.reset();
    if (end == channel_end::connect_failed)
      return Done({call_end::connect_failed, false});
    if (end == channel_end::closed && !skipping_) {
      reader_->FeedEnd();
      if (reader_->state() == answer_state::complete)
        return Done({call_end::complete, true});
    }
    Done({call_end::broken, left});
  }

  void Fail(call_end end) {
    const bool left = MayHaveLeft();
    std::exchange(channel_, nullptr)->Abort();
    Done({end, left});
  }

  void Done(call_outcome outcome) {
    const auto on_done = std::move(callbacks_.on_done);
    callbacks_ = {};
    if (on_done)
      on_done(outcome);
  }

  const http_address address_;
  const std::shared_ptr<idle_pool> pool_;
  call_callbacks callbacks_;
  std::unique_ptr<i_http_answer_reader> reader_;
  std::shared_ptr<i_channel> channel_;
  bool head_seen_ = false;
  bool skipping_ = false;
  bool skipped_any_ = false;
  bool reused_ = false;
};

class http_caller final : public i_http_caller {
 public:
  http_caller(i_connector& connector, i_scheduler& scheduler)
      : connector_(connector), pool_(std::make_shared<idle_pool>(scheduler)) {}

  std::shared_ptr<i_http_call> Call(const http_address& address,
                                    std::string request,
                                    const call_options& options,
                                    call_callbacks callbacks) override {
    auto call =
        std::make_shared<http_call>(address, pool_, std::move(callbacks));
    if (auto kept = pool_->Take(address, options.max_idle)) {
      call->Use(std::move(kept), std::move(request));
      return call;
    }
    call->Open(connector_, options.connect_deadline, std::move(request));
    return call;
  }

  void Forget(const http_address& address) override { pool_->Forget(address); }

 private:
  i_connector& connector_;
  const std::shared_ptr<idle_pool> pool_;
};

}  // namespace

std::unique_ptr<i_http_caller> MakeHttpCaller(i_connector& connector,
                                              i_scheduler& scheduler) {
  return std::make_unique<http_caller>(connector, scheduler);
}

}  // namespace wist
