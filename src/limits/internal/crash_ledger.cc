#include "limits/crash_ledger.h"

#include <algorithm>

namespace wist {
namespace {

// Crashes after which a request is refused. With fewer, requests that were
// running on targets that crashed for other reasons would also be refused.
constexpr std::size_t kCrashesToQuarantine = 3;

// Crashes closer together than this count as one: when many targets fail at
// once, the requests that they ran are unlikely to be the cause.
constexpr milliseconds kCorrelatedCrashWindow{200};

// Time for which a crash counts against a request. Callers stop retrying sooner
// than that.
constexpr seconds kCrashRetention{60};

// Time for which a crash or a response is reported to peers. Reports are sent
// at least about once a second, and each may be lost.
constexpr seconds kNoticeRetention{4};

constexpr std::size_t kMaxRecords = 1024;
constexpr std::size_t kMaxNotices = 16;

}  // namespace

void crash_ledger::OnCrash(request_digest digest,
                           const target_id& target,
                           timestamp now) {
  RecordCrash(digest, target, now);
}

void crash_ledger::OnResponse(request_digest digest, timestamp now) {
  RecordResponse(digest, now);
}

void crash_ledger::OnNotice(const crash_notice& notice, timestamp now) {
  if (notice.target)
    return RecordCrash(notice.digest, *notice.target, now - notice.age);
  RecordResponse(notice.digest, now - notice.age);
}

void crash_ledger::RecordCrash(request_digest digest,
                               const target_id& target,
                               timestamp at) {
  if (!records_.contains(digest) && records_.size() >= kMaxRecords)
    return;
  request_record& record = records_[digest];
  if (record.responded_at && at <= *record.responded_at)
    return;
  for (const crash& recorded : record.crashes) {
    if (recorded.target == target)
      return;
    const microseconds interval =
        recorded.at > at ? recorded.at - at : at - recorded.at;
    if (interval < kCorrelatedCrashWindow)
      return;
  }
  record.crashes.push_back({target, at});
  std::sort(
      record.crashes.begin(), record.crashes.end(),
      [](const crash& left, const crash& right) { return left.at < right.at; });
}

void crash_ledger::RecordResponse(request_digest digest, timestamp at) {
  const auto found = records_.find(digest);
  if (found == records_.end())
    return;
  request_record& record = found->second;
  if (record.responded_at && at <= *record.responded_at)
    return;
  record.responded_at = at;
  std::erase_if(record.crashes,
                [&](const crash& recorded) { return recorded.at <= at; });
}

std::optional<timestamp> crash_ledger::QuarantinedUntil(request_digest digest,
                                                        timestamp now) const {
  const auto found = records_.find(digest);
  if (found == records_.end() ||
      found->second.crashes.size() < kCrashesToQuarantine)
    return std::nullopt;
  const auto& crashes = found->second.crashes;
  // The quarantine ends when too few unexpired crashes remain.
  const timestamp until =
      crashes[crashes.size() - kCrashesToQuarantine].at + kCrashRetention;
  if (now >= until)
    return std::nullopt;
  return until;
}

std::vector<crash_notice> crash_ledger::RecentNotices(timestamp now) const {
  std::vector<crash_notice> notices;
  for (const auto& [digest, record] : records_) {
    for (const crash& recorded : record.crashes)
      notices.push_back({digest, recorded.target, now - recorded.at});
    if (record.responded_at)
      notices.push_back({digest, std::nullopt, now - *record.responded_at});
  }
  std::erase_if(notices, [](const crash_notice& notice) {
    return notice.age > kNoticeRetention;
  });
  std::sort(notices.begin(), notices.end(),
            [](const crash_notice& left, const crash_notice& right) {
              return left.age < right.age;
            });
  if (notices.size() > kMaxNotices)
    notices.resize(kMaxNotices);
  return notices;
}

void crash_ledger::Expire(timestamp now) {
  for (auto& [digest, record] : records_) {
    std::erase_if(record.crashes, [&](const crash& recorded) {
      return now >= recorded.at + kCrashRetention;
    });
    if (record.responded_at && now >= *record.responded_at + kCrashRetention)
      record.responded_at.reset();
  }
  std::erase_if(records_, [](const auto& item) {
    return item.second.crashes.empty() && !item.second.responded_at;
  });
}

}  // namespace wist
