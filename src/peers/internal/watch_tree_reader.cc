#include "peers/watch_tree_reader.h"

#include <Poco/URI.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "framework/net/buffered_call.h"
#include "peers/internal/page_codec.h"

namespace wist {
namespace {

constexpr int kOk = 200;

constexpr milliseconds kConnectTimeout{300};

// Time in which a parent has to respond, in addition to the wait of a watch. A
// parent that does not respond counts as failed. The switch to another source
// has to fit into the bound on changes of the configuration.
constexpr milliseconds kResponseTimeout{400};
constexpr milliseconds kMaxChannelIdle{10'000};

// A page of a mirror holds all keys below a prefix: one value of up to 1 MiB,
// as base64, and some thousand entries of a few hundred bytes.
constexpr std::size_t kMaxMirrorPageBytes = 8'388'608;

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

// Number of parents tried for one call. One that does not respond takes 0.55 s
// of the bound on changes of the configuration.
constexpr int kMaxParentsPerCall = 2;

// Time for which calls go directly to the store after the parents tried for a
// call failed.
constexpr milliseconds kDirectReadPeriod{1000};

// Time for which calls go to other instances after the store rejected this one.
constexpr milliseconds kStoreRefusalPeriod{3000};

using query_parameters = std::vector<std::pair<std::string, std::string>>;

std::string EncodeMirrorRequest(const http_address& mirror,
                                const std::string& path,
                                const query_parameters& parameters) {
  Poco::URI uri(path);
  for (const auto& [name, value] : parameters)
    uri.addQueryParameter(name, value);
  http_request_message request;
  request.method = "GET";
  request.target = uri.getPathEtc();
  request.headers = {{"Host", mirror.host}};
  return EncodeHttpRequest(request);
}

// Returns null unless the response of a parent has a page.
const std::string* PageOf(const std::optional<buffered_response>& response) {
  return response && response->head.status == kOk ? &response->body : nullptr;
}

// Returns whether a parent states that it has no source itself.
bool IsLossNotice(const std::optional<buffered_response>& response) {
  const std::string* page = PageOf(response);
  return page && IsUnavailablePage(*page);
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
  return find_source_(parent_backoff_.Unusable(now), store_refuses);
}

bool watch_tree_reader::AwaitsSource(milliseconds patience) {
  const timestamp now = scheduler_.Now();
  if (!without_source_since_)
    without_source_since_ = now;
  return now < *without_source_since_ + patience || now < next_direct_watch_at_;
}

void watch_tree_reader::OnParentSuccess(const std::string& parent) {
  parent_backoff_.OnSuccess(parent);
  without_source_since_.reset();
}

void watch_tree_reader::OnStoreResponse(bool refused, milliseconds patience) {
  const timestamp now = scheduler_.Now();
  if (!refused) {
    store_refusal_deadline_ = {};
    without_source_since_.reset();
    return;
  }
  store_refusal_deadline_ = now + kStoreRefusalPeriod;
  next_direct_watch_at_ =
      now + (patience > milliseconds(0) ? kFailedDescendantInterval
                                        : kFailedRootInterval);
}

// Returns whether no page of a later era was read before.
bool watch_tree_reader::AdvanceToEraOf(store_revision revision) {
  if (revision.era < latest_era_)
    return false;
  latest_era_ = revision.era;
  return true;
}

void watch_tree_reader::RetryAt(timestamp time, std::function<void()> step) {
  retry_timer_ = scheduler_.RunAt(time, std::move(step));
}

void watch_tree_reader::ReadRange(const std::string& prefix,
                                  const std::string& after_key,
                                  std::function<void(range_result)> done) {
  // A mirror sends all entries in one page.
  if (after_key.empty())
    return ReadFirstPage(prefix, std::move(done));
  ReadRangeDirectly(prefix, after_key, std::move(done));
}

void watch_tree_reader::ReadFirstPage(const std::string& prefix,
                                      std::function<void(range_result)> done) {
  const mirror_source source = FindSource();
  if (source.instance)
    return ReadFirstPageViaParent(source, prefix, std::move(done));
  if (source.patience > milliseconds(0) && AwaitsSource(source.patience))
    return RetryAt(scheduler_.Now() + kSourceSearchInterval,
                   [this, prefix, done] { ReadFirstPage(prefix, done); });
  ReadRangeDirectly(prefix, "", std::move(done));
}

void watch_tree_reader::ReadFirstPageViaParent(
    const mirror_source& source,
    const std::string& prefix,
    std::function<void(range_result)> done) {
  const known_instance& parent = *source.instance;
  buffered_call::Start(
      caller_, scheduler_, parent.address,
      EncodeMirrorRequest(
          parent.address, "/range",
          {{"prefix", prefix},
           {"wait_ms", std::to_string(kMaxFirstCopyWait.count())}}),
      {kConnectTimeout,
       kMaxFirstCopyWait + kResponseTimeout,
       kMaxChannelIdle,
       kMaxMirrorPageBytes,
       {parent.name, ""}},
      [this, name = parent.name, patience = source.patience, prefix,
       done = std::move(done)](std::optional<buffered_response> response) {
        const std::string* encoded = PageOf(response);
        range_result result = encoded ? DecodeRangePage(*encoded)
                                      : range_result(store_error::unavailable);
        const auto* page = std::get_if<range_page>(&result);
        if (page && page->age <= kMaxMirrorAge &&
            AdvanceToEraOf(page->at_revision)) {
          OnParentSuccess(name);
          return done(std::move(result));
        }
        if (IsLossNotice(response) && AwaitsSource(patience))
          return done(store_error::unavailable);
        parent_backoff_.OnFailure(name, scheduler_.Now());
        ReadRangeDirectly(prefix, "", done);
      });
}

void watch_tree_reader::ReadRangeDirectly(
    const std::string& prefix,
    const std::string& after_key,
    std::function<void(range_result)> done) {
  on_store_call_(after_key.empty() ? "range" : "range_next_page");
  // The range is as new as a watch would be.
  next_direct_watch_at_ = scheduler_.Now() + kMinDirectWatchInterval;
  store_.ReadRange(
      prefix, after_key, [this, done = std::move(done)](range_result result) {
        if (const auto* page = std::get_if<range_page>(&result))
          AdvanceToEraOf(page->at_revision);
        OnStoreResponse(std::holds_alternative<store_error>(result),
                        /*patience=*/milliseconds(0));
        done(std::move(result));
      });
}

void watch_tree_reader::Watch(const std::string& prefix,
                              store_revision since_revision,
                              milliseconds wait,
                              std::function<void(watch_result)> done) {
  Watch(watch_call{prefix, since_revision, wait, std::move(done),
                   /*parents_tried=*/0});
}

void watch_tree_reader::Watch(watch_call call) {
  const mirror_source source = FindSource();
  if (source.instance && call.parents_tried < kMaxParentsPerCall)
    return WatchViaParent(source, std::move(call));
  if (!source.instance && source.patience > milliseconds(0) &&
      AwaitsSource(source.patience))
    return RetryAt(scheduler_.Now() + kSourceSearchInterval,
                   [this, call = std::move(call)] { Watch(call); });
  if (call.parents_tried > 0)
    direct_read_deadline_ = scheduler_.Now() + kDirectReadPeriod;
  WatchDirectly(source.patience, std::move(call));
}

void watch_tree_reader::WatchViaParent(const mirror_source& source,
                                       watch_call call) {
  const known_instance& parent = *source.instance;
  const milliseconds parent_wait = std::min(call.wait, kMaxParentWait);
  const std::string request = EncodeMirrorRequest(
      parent.address, "/watch",
      {{"prefix", call.prefix},
       {"since", std::to_string(call.since_revision.number)},
       {"era", std::to_string(call.since_revision.era)},
       {"wait_ms", std::to_string(parent_wait.count())}});
  buffered_call::Start(
      caller_, scheduler_, parent.address, request,
      {kConnectTimeout,
       parent_wait + kResponseTimeout,
       kMaxChannelIdle,
       kMaxMirrorPageBytes,
       {parent.name, ""}},
      [this, name = parent.name, patience = source.patience,
       call =
           std::move(call)](std::optional<buffered_response> response) mutable {
        const std::string* encoded = PageOf(response);
        watch_result result = encoded ? DecodeWatchPage(*encoded)
                                      : watch_result(store_error::unavailable);
        const auto* page = std::get_if<watch_page>(&result);
        if (IsUsableResponse(result) &&
            (!page || AdvanceToEraOf(page->at_revision))) {
          OnParentSuccess(name);
          return call.done(std::move(result));
        }
        if (patience > milliseconds(0) && IsLossNotice(response)) {
          // The parent looks for a source itself. It is called again, unless it
          // had its time.
          if (AwaitsSource(patience))
            return call.done(store_error::unavailable);
          return WatchDirectly(patience, std::move(call));
        }
        parent_backoff_.OnFailure(name, scheduler_.Now());
        ++call.parents_tried;
        Watch(std::move(call));
      });
}

void watch_tree_reader::WatchDirectly(milliseconds patience, watch_call call) {
  // By the time of a delayed watch there may be a parent that can be read
  // instead.
  if (scheduler_.Now() < next_direct_watch_at_)
    return RetryAt(next_direct_watch_at_,
                   [this, call = std::move(call)] { Watch(call); });
  next_direct_watch_at_ = scheduler_.Now() + kMinDirectWatchInterval;
  on_store_call_(scheduler_.Now() < direct_read_deadline_
                     ? "watch_parents_failed"
                     : "watch_no_parent");
  store_.Watch(call.prefix, call.since_revision, call.wait,
               [this, patience, done = call.done](watch_result result) {
                 const auto* error = std::get_if<store_error>(&result);
                 if (const auto* page = std::get_if<watch_page>(&result))
                   AdvanceToEraOf(page->at_revision);
                 OnStoreResponse(error && *error == store_error::unavailable,
                                 patience);
                 done(std::move(result));
               });
}

}  // namespace wist
