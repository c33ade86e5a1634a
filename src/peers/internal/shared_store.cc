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

// How long a parent that failed is not asked.
constexpr milliseconds kFirstRest{2000};
constexpr milliseconds kLongestRest{16'000};
constexpr int kMaxDoublings = 3;

// Parents that are tried for one call: a silent one takes 0.7 s out of the
// bound on changes of the configuration.
constexpr int kMaxParents = 2;

// How long the store is asked after that.
constexpr milliseconds kDirectSpan{1000};

// How long other instances are asked after the store refused this one.
constexpr milliseconds kRefusedSpan{3000};

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
  const timestamp now = scheduler_.Now();
  const bool store_refuses = now < refused_deadline_;
  if (now < direct_deadline_ && !store_refuses)
    return std::nullopt;
  std::set<std::string> unusable;
  for (const auto& [name, fault] : faults_) {
    if (now < fault.deadline)
      unusable.insert(name);
  }
  return find_parent_(unusable, store_refuses);
}

void shared_store::OnParentFault(const std::string& parent) {
  parent_fault& fault = faults_[parent];
  const int doublings = std::min(fault.faults, kMaxDoublings);
  ++fault.faults;
  fault.deadline =
      scheduler_.Now() + std::min(kFirstRest * (1 << doublings), kLongestRest);
}

void shared_store::OnDirectAnswer(bool refused) {
  refused_deadline_ = refused ? scheduler_.Now() + kRefusedSpan : timestamp{};
}

void shared_store::ReadRange(const std::string& prefix,
                             const std::string& after_key,
                             std::function<void(range_result)> done) {
  const auto directly = [this, prefix, after_key, done] {
    store_.ReadRange(prefix, after_key, [this, done](range_result result) {
      OnDirectAnswer(std::holds_alternative<store_fault>(result));
      done(std::move(result));
    });
  };
  const auto parent = after_key.empty() ? Parent() : std::nullopt;
  if (!parent)
    return directly();
  Poco::URI uri("/range");
  uri.addQueryParameter("prefix", prefix);
  whole_call::Start(caller_, scheduler_, parent->address,
                    EncodeQuestion(parent->address, uri),
                    {kConnectLimit, kAnswerLimit, kMaxIdle},
                    [this, name = parent->name, done,
                     directly](std::optional<whole_answer> answer) {
                      range_result result =
                          answer ? DecodeRangePage(answer->body)
                                 : range_result(store_fault::unavailable);
                      const auto* page = std::get_if<range_page>(&result);
                      if (page && page->age <= kMaxCopyAge) {
                        faults_.erase(name);
                        return done(std::move(result));
                      }
                      OnParentFault(name);
                      directly();
                    });
}

void shared_store::Watch(const std::string& prefix,
                         std::int64_t since_revision,
                         milliseconds wait,
                         std::function<void(watch_result)> done) {
  Watch(watch_call{prefix, since_revision, wait, std::move(done), 0});
}

void shared_store::Watch(watch_call call) {
  const auto parent =
      call.parents_tried < kMaxParents ? Parent() : std::nullopt;
  if (parent)
    return WatchParent(*parent, std::move(call));
  if (call.parents_tried > 0)
    direct_deadline_ = scheduler_.Now() + kDirectSpan;
  WatchDirectly(std::move(call));
}

void shared_store::WatchParent(const known_instance& parent, watch_call call) {
  const milliseconds parent_wait = std::min(call.wait, kParentWait);
  Poco::URI uri("/watch");
  uri.addQueryParameter("prefix", call.prefix);
  uri.addQueryParameter("since", std::to_string(call.since_revision));
  uri.addQueryParameter("wait_ms", std::to_string(parent_wait.count()));
  whole_call::Start(
      caller_, scheduler_, parent.address, EncodeQuestion(parent.address, uri),
      {kConnectLimit, parent_wait + kAnswerLimit, kMaxIdle},
      [this, name = parent.name,
       call = std::move(call)](std::optional<whole_answer> answer) mutable {
        watch_result result = answer ? DecodeWatchPage(answer->body)
                                     : watch_result(store_fault::unavailable);
        if (IsUsable(result)) {
          faults_.erase(name);
          return call.done(std::move(result));
        }
        OnParentFault(name);
        ++call.parents_tried;
        Watch(std::move(call));
      });
}

void shared_store::WatchDirectly(watch_call call) {
  const auto watch = [this, call = std::move(call)] {
    next_direct_watch_ = scheduler_.Now() + kDirectWatchPace;
    store_.Watch(call.prefix, call.since_revision, call.wait,
                 [this, done = call.done](watch_result result) {
                   const auto* fault = std::get_if<store_fault>(&result);
                   OnDirectAnswer(fault && *fault == store_fault::unavailable);
                   done(std::move(result));
                 });
  };
  if (scheduler_.Now() >= next_direct_watch_)
    return watch();
  direct_timer_ = scheduler_.RunAt(next_direct_watch_, watch);
}

}  // namespace wist
