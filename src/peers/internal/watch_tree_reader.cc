#include "peers/watch_tree_reader.h"

#include <Poco/URI.h>

#include <algorithm>

#include "framework/net/buffered_call.h"
#include "peers/internal/page_codec.h"

namespace wist {
namespace {

constexpr milliseconds kConnectTimeout{300};

// Time in which a parent has to respond, in addition to the wait of a watch. A
// parent that does not respond counts as failed. The switch to another source
// has to fit into the bound on changes of the configuration.
constexpr milliseconds kResponseTimeout{400};
constexpr milliseconds kMaxChannelIdle{10'000};

// Longest wait of a watch at a parent. Each level of the watch tree adds it to
// the age of a confirmation.
constexpr milliseconds kMaxParentWait{300};

// Minimum time between the starts of direct watches. Targets renew their
// entries continuously, so that each watch returns at once, and the store
// charges for each call. The interval delays the notice that a target is
// leaving by up to as much.
constexpr milliseconds kMinDirectWatchInterval{120};

// Time for which a parent that failed is not used. It doubles with each
// failure.
constexpr milliseconds kInitialParentBackoff{2000};
constexpr milliseconds kMaxParentBackoff{16'000};
constexpr int kMaxBackoffDoublings = 3;

// Number of parents tried for one call. One that does not respond takes 0.7 s
// of the bound on changes of the configuration.
constexpr int kMaxParentsPerCall = 2;

// Time for which calls go directly to the store after the parents tried for a
// call failed.
constexpr milliseconds kDirectReadPeriod{1000};

// Time for which calls go to other instances after the store rejected this one.
constexpr milliseconds kStoreRefusalPeriod{3000};

std::string EncodeGetRequest(const http_address& address,
                             const Poco::URI& uri) {
  http_request_message request;
  request.method = "GET";
  request.target = uri.getPathEtc();
  request.headers = {{"Host", address.host}};
  return EncodeHttpRequest(request);
}

// Returns whether to use the response of a parent. history_gone is a usable
// response, because the store itself would return the same.
bool IsUsableResponse(const watch_result& result) {
  if (const auto* error = std::get_if<store_error>(&result))
    return *error == store_error::history_gone;
  return std::get<watch_page>(result).age <= kMaxMirrorAge;
}

}  // namespace

watch_tree_reader::watch_tree_reader(i_store_reader& store,
                                     i_http_caller& caller,
                                     i_scheduler& scheduler,
                                     parent_finder find_parent)
    : store_(store),
      caller_(caller),
      scheduler_(scheduler),
      find_parent_(std::move(find_parent)) {}

std::optional<known_instance> watch_tree_reader::FindParent() const {
  const timestamp now = scheduler_.Now();
  const bool store_refuses = now < store_refusal_deadline_;
  if (now < direct_read_deadline_ && !store_refuses)
    return std::nullopt;
  std::set<std::string> unusable;
  for (const auto& [name, backoff] : parent_backoffs_) {
    if (now < backoff.deadline)
      unusable.insert(name);
  }
  return find_parent_(unusable, store_refuses);
}

void watch_tree_reader::OnParentFailure(const std::string& parent) {
  parent_backoff& backoff = parent_backoffs_[parent];
  const int doublings = std::min(backoff.failures, kMaxBackoffDoublings);
  ++backoff.failures;
  backoff.deadline =
      scheduler_.Now() +
      std::min(kInitialParentBackoff * (1 << doublings), kMaxParentBackoff);
}

void watch_tree_reader::OnStoreResponse(bool refused) {
  store_refusal_deadline_ =
      refused ? scheduler_.Now() + kStoreRefusalPeriod : timestamp{};
}

void watch_tree_reader::ReadRange(const std::string& prefix,
                                  const std::string& after_key,
                                  std::function<void(range_result)> done) {
  const auto read_from_store = [this, prefix, after_key, done] {
    store_.ReadRange(prefix, after_key, [this, done](range_result result) {
      const bool refused = std::holds_alternative<store_error>(result);
      OnStoreResponse(refused);
      // The range is as new as a watch would be.
      if (!refused)
        next_direct_watch_at_ = scheduler_.Now() + kMinDirectWatchInterval;
      done(std::move(result));
    });
  };
  const auto parent = after_key.empty() ? FindParent() : std::nullopt;
  if (!parent)
    return read_from_store();
  Poco::URI uri("/range");
  uri.addQueryParameter("prefix", prefix);
  buffered_call::Start(caller_, scheduler_, parent->address,
                       EncodeGetRequest(parent->address, uri),
                       {kConnectTimeout, kResponseTimeout, kMaxChannelIdle},
                       [this, name = parent->name, done, read_from_store](
                           std::optional<buffered_response> response) {
                         range_result result =
                             response ? DecodeRangePage(response->body)
                                      : range_result(store_error::unavailable);
                         const auto* page = std::get_if<range_page>(&result);
                         if (page && page->age <= kMaxMirrorAge) {
                           parent_backoffs_.erase(name);
                           return done(std::move(result));
                         }
                         OnParentFailure(name);
                         read_from_store();
                       });
}

void watch_tree_reader::Watch(const std::string& prefix,
                              std::int64_t since_revision,
                              milliseconds wait,
                              std::function<void(watch_result)> done) {
  Watch(watch_call{prefix, since_revision, wait, std::move(done),
                   /*parents_tried=*/0});
}

void watch_tree_reader::Watch(watch_call call) {
  const auto parent =
      call.parents_tried < kMaxParentsPerCall ? FindParent() : std::nullopt;
  if (parent)
    return WatchViaParent(*parent, std::move(call));
  if (call.parents_tried > 0)
    direct_read_deadline_ = scheduler_.Now() + kDirectReadPeriod;
  WatchDirectly(std::move(call));
}

void watch_tree_reader::WatchViaParent(const known_instance& parent,
                                       watch_call call) {
  const milliseconds parent_wait = std::min(call.wait, kMaxParentWait);
  Poco::URI uri("/watch");
  uri.addQueryParameter("prefix", call.prefix);
  uri.addQueryParameter("since", std::to_string(call.since_revision));
  uri.addQueryParameter("wait_ms", std::to_string(parent_wait.count()));
  buffered_call::Start(
      caller_, scheduler_, parent.address,
      EncodeGetRequest(parent.address, uri),
      {kConnectTimeout, parent_wait + kResponseTimeout, kMaxChannelIdle},
      [this, name = parent.name, call = std::move(call)](
          std::optional<buffered_response> response) mutable {
        watch_result result = response ? DecodeWatchPage(response->body)
                                       : watch_result(store_error::unavailable);
        if (IsUsableResponse(result)) {
          parent_backoffs_.erase(name);
          return call.done(std::move(result));
        }
        OnParentFailure(name);
        ++call.parents_tried;
        Watch(std::move(call));
      });
}

void watch_tree_reader::WatchDirectly(watch_call call) {
  if (scheduler_.Now() < next_direct_watch_at_) {
    // By then there may be a parent that can be read instead.
    direct_watch_timer_ = scheduler_.RunAt(
        next_direct_watch_at_,
        [this, call = std::move(call)]() mutable { Watch(std::move(call)); });
    return;
  }
  next_direct_watch_at_ = scheduler_.Now() + kMinDirectWatchInterval;
  store_.Watch(call.prefix, call.since_revision, call.wait,
               [this, done = call.done](watch_result result) {
                 const auto* error = std::get_if<store_error>(&result);
                 OnStoreResponse(error && *error == store_error::unavailable);
                 done(std::move(result));
               });
}

}  // namespace wist
