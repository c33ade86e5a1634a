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

// Longest wait for a parent that has just started and has no content itself.
// Instances that start at the same time pass the content on in the tree, so
// that they do not all read it from the store.
constexpr milliseconds kMaxFirstCopyWait{600};

// Longest wait of a watch at a parent. Each level of the watch tree adds it to
// the age of a confirmation, and a domain that is cut off serves requests with
// API keys until its last confirmation is too old.
constexpr milliseconds kMaxParentWait{150};

// Interval of the checks for a source while the parent is not known.
constexpr milliseconds kSourceSearchInterval{50};

// Minimum time between direct watches after one that failed: of an instance
// that has to find a source for others, and of the others.
constexpr milliseconds kFailedRootInterval{600};
constexpr milliseconds kFailedDescendantInterval{3000};

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

// Number of parents tried for one call. One that does not respond takes 0.55 s
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

// Returns whether a parent states that it has no source itself.
bool IsLossNotice(const std::optional<buffered_response>& response) {
  return response && IsUnavailablePage(response->body);
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
                                     source_finder find_source,
                                     call_observer on_store_call)
    : store_(store),
      caller_(caller),
      scheduler_(scheduler),
      find_source_(std::move(find_source)),
      on_store_call_(std::move(on_store_call)) {}

mirror_source watch_tree_reader::FindSource() const {
  const timestamp now = scheduler_.Now();
  const bool store_refuses = now < store_refusal_deadline_;
  if (now < direct_read_deadline_ && !store_refuses)
    return {};
  std::set<std::string> unusable;
  for (const auto& [name, backoff] : parent_backoffs_) {
    if (now < backoff.deadline)
      unusable.insert(name);
  }
  return find_source_(unusable, store_refuses);
}

bool watch_tree_reader::IsPatienceOver(milliseconds patience) {
  const timestamp now = scheduler_.Now();
  if (!without_source_since_)
    without_source_since_ = now;
  return now >= *without_source_since_ + patience &&
         now >= next_direct_watch_at_;
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
  if (!refused)
    without_source_since_.reset();
}

void watch_tree_reader::ReadRange(const std::string& prefix,
                                  const std::string& after_key,
                                  std::function<void(range_result)> done) {
  const auto read_from_store = [this, prefix, after_key, done] {
    on_store_call_(after_key.empty() ? "range" : "range_next_page");
    store_.ReadRange(prefix, after_key, [this, done](range_result result) {
      const bool refused = std::holds_alternative<store_error>(result);
      OnStoreResponse(refused);
      // The range is as new as a watch would be.
      next_direct_watch_at_ =
          scheduler_.Now() +
          (refused ? kFailedRootInterval : kMinDirectWatchInterval);
      done(std::move(result));
    });
  };
  const mirror_source source =
      after_key.empty() ? FindSource() : mirror_source{};
  if (!source.instance)
    return read_from_store();
  Poco::URI uri("/range");
  uri.addQueryParameter("prefix", prefix);
  uri.addQueryParameter("wait_ms", std::to_string(kMaxFirstCopyWait.count()));
  buffered_call::Start(
      caller_, scheduler_, source.instance->address,
      EncodeGetRequest(source.instance->address, uri),
      {kConnectTimeout, kMaxFirstCopyWait + kResponseTimeout, kMaxChannelIdle},
      [this, name = source.instance->name, patience = source.patience, done,
       read_from_store](std::optional<buffered_response> response) {
        range_result result = response ? DecodeRangePage(response->body)
                                       : range_result(store_error::unavailable);
        const auto* page = std::get_if<range_page>(&result);
        if (page && page->age <= kMaxMirrorAge) {
          parent_backoffs_.erase(name);
          without_source_since_.reset();
          return done(std::move(result));
        }
        if (IsLossNotice(response) && !IsPatienceOver(patience))
          return done(store_error::unavailable);
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
  const mirror_source source = FindSource();
  if (source.instance && call.parents_tried < kMaxParentsPerCall)
    return WatchViaParent(*source.instance, source.patience, std::move(call));
  if (!source.instance && source.patience > milliseconds(0) &&
      !IsPatienceOver(source.patience))
    return WatchAt(scheduler_.Now() + kSourceSearchInterval, std::move(call));
  if (call.parents_tried > 0)
    direct_read_deadline_ = scheduler_.Now() + kDirectReadPeriod;
  WatchDirectly(source.patience, std::move(call));
}

void watch_tree_reader::WatchAt(timestamp time, watch_call call) {
  watch_timer_ = scheduler_.RunAt(
      time,
      [this, call = std::move(call)]() mutable { Watch(std::move(call)); });
}

void watch_tree_reader::WatchViaParent(const known_instance& parent,
                                       milliseconds patience,
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
      [this, name = parent.name, patience, call = std::move(call)](
          std::optional<buffered_response> response) mutable {
        watch_result result = response ? DecodeWatchPage(response->body)
                                       : watch_result(store_error::unavailable);
        if (IsUsableResponse(result)) {
          parent_backoffs_.erase(name);
          without_source_since_.reset();
          return call.done(std::move(result));
        }
        if (patience > milliseconds(0) && IsLossNotice(response)) {
          // The parent looks for a source itself. It is asked again, unless it
          // had its time.
          if (!IsPatienceOver(patience))
            return call.done(store_error::unavailable);
          return WatchDirectly(patience, std::move(call));
        }
        OnParentFailure(name);
        ++call.parents_tried;
        Watch(std::move(call));
      });
}

void watch_tree_reader::WatchDirectly(milliseconds patience, watch_call call) {
  // By the time of a delayed watch there may be a parent that can be read
  // instead.
  if (scheduler_.Now() < next_direct_watch_at_)
    return WatchAt(next_direct_watch_at_, std::move(call));
  next_direct_watch_at_ = scheduler_.Now() + kMinDirectWatchInterval;
  on_store_call_(scheduler_.Now() < direct_read_deadline_
                     ? "watch_parents_failed"
                     : "watch_no_parent");
  store_.Watch(call.prefix, call.since_revision, call.wait,
               [this, patience, done = call.done](watch_result result) {
                 const auto* error = std::get_if<store_error>(&result);
                 const bool refused =
                     error && *error == store_error::unavailable;
                 OnStoreResponse(refused);
                 if (refused) {
                   next_direct_watch_at_ =
                       scheduler_.Now() + (patience > milliseconds(0)
                                               ? kFailedDescendantInterval
                                               : kFailedRootInterval);
                 }
                 done(std::move(result));
               });
}

}  // namespace wist
