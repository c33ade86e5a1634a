#include "peers/shared_store.h"

#include <Poco/URI.h>

#include <algorithm>

#include "framework/net/whole_call.h"
#include "peers/internal/page_codec.h"

namespace wist {
namespace {

constexpr milliseconds kConnectLimit{300};

// A parent answers within its wait and this time, or counts as gone: what
// follows has to fit into the bound on changes of the configuration.
constexpr milliseconds kAnswerLimit{400};
constexpr milliseconds kMaxIdle{10'000};

// Longest wait of a watch at a parent: the age of a confirmation grows with it
// at each level of the watch tree.
constexpr milliseconds kParentWait{300};

// Targets renew their entries all the time, and each call to the store is
// charged: watches that bring changes follow each other no faster than this.
// It adds to the time in which a notice of leaving is heard.
constexpr milliseconds kDirectWatchPace{120};

// How long the store is asked after a parent failed.
constexpr milliseconds kFirstDirect{2000};
constexpr milliseconds kLongestDirect{16'000};
constexpr int kMaxDoublings = 3;

std::string EncodeQuestion(const http_address& address, const Poco::URI& uri) {
  http_request_message request;
  request.method = "GET";
  request.target = uri.getPathEtc();
  request.headers = {{"Host", address.host}};
  return EncodeHttpRequest(request);
}

// Whether the parent's word is worth going on with: lost history is, since the
// store itself would say the same.
bool IsUsable(const watch_result& result) {
  if (const auto* fault = std::get_if<store_fault>(&result))
    return *fault == store_fault::history_gone;
  return std::get<watch_page>(result).age <= kMaxCopyAge;
}

}  // namespace

shared_store::shared_store(i_store_reader& store,
                           i_http_caller& caller,
                           i_scheduler& scheduler,
                           parent_finder parent)
    : store_(store),
      caller_(caller),
      scheduler_(scheduler),
      find_parent_(std::move(parent)) {}

std::optional<known_instance> shared_store::Parent() const {
  if (direct_deadline_ && scheduler_.Now() < *direct_deadline_)
    return std::nullopt;
  return find_parent_();
}

void shared_store::OnParentFault() {
  const milliseconds span = std::min(
      kFirstDirect * (1 << std::min(faults_, kMaxDoublings)), kLongestDirect);
  ++faults_;
  direct_deadline_ = scheduler_.Now() + span;
}

void shared_store::OnParentAnswer() {
  faults_ = 0;
}

void shared_store::ReadRange(const std::string& prefix,
                             const std::string& after_key,
                             std::function<void(range_result)> done) {
  const auto parent = after_key.empty() ? Parent() : std::nullopt;
  if (!parent)
    return store_.ReadRange(prefix, after_key, std::move(done));
  Poco::URI uri("/range");
  uri.addQueryParameter("prefix", prefix);
  whole_call::Start(caller_, scheduler_, parent->address,
                    EncodeQuestion(parent->address, uri),
                    {kConnectLimit, kAnswerLimit, kMaxIdle},
                    [this, prefix, done = std::move(done)](
                        std::optional<whole_answer> answer) {
                      range_result result =
                          answer ? DecodeRangePage(answer->body)
                                 : range_result(store_fault::unavailable);
                      const auto* page = std::get_if<range_page>(&result);
                      if (page && page->age <= kMaxCopyAge) {
                        OnParentAnswer();
                        return done(std::move(result));
                      }
                      OnParentFault();
                      store_.ReadRange(prefix, "", done);
                    });
}

void shared_store::Watch(const std::string& prefix,
                         std::int64_t since_revision,
                         milliseconds wait,
                         std::function<void(watch_result)> done) {
  const auto parent = Parent();
  if (!parent)
    return WatchDirectly(prefix, since_revision, wait, std::move(done));
  const milliseconds parent_wait = std::min(wait, kParentWait);
  Poco::URI uri("/watch");
  uri.addQueryParameter("prefix", prefix);
  uri.addQueryParameter("since", std::to_string(since_revision));
  uri.addQueryParameter("wait_ms", std::to_string(parent_wait.count()));
  whole_call::Start(
      caller_, scheduler_, parent->address,
      EncodeQuestion(parent->address, uri),
      {kConnectLimit, parent_wait + kAnswerLimit, kMaxIdle},
      [this, prefix, since_revision, wait,
       done = std::move(done)](std::optional<whole_answer> answer) {
        watch_result result = answer ? DecodeWatchPage(answer->body)
                                     : watch_result(store_fault::unavailable);
        if (!IsUsable(result)) {
          OnParentFault();
          return WatchDirectly(prefix, since_revision, wait, done);
        }
        OnParentAnswer();
        done(std::move(result));
      });
}

void shared_store::WatchDirectly(const std::string& prefix,
                                 std::int64_t since_revision,
                                 milliseconds wait,
                                 std::function<void(watch_result)> done) {
  const auto watch = [this, prefix, since_revision, wait,
                      done = std::move(done)] {
    next_direct_watch_ = scheduler_.Now() + kDirectWatchPace;
    store_.Watch(prefix, since_revision, wait, done);
  };
  if (scheduler_.Now() >= next_direct_watch_)
    return watch();
  direct_timer_ = scheduler_.RunAt(next_direct_watch_, watch);
}

}  // namespace wist
