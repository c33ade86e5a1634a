#include "limits/crash_ledger.h"

#include <algorithm>

namespace wist {
namespace {

// Crashes after which a request is refused. With fewer, a request that was in
// flight on targets which crashed for other reasons would be refused as well.
constexpr std::size_t kCrashesToQuarantine = 3;

// Crashes closer together than this count as one: a failure of many targets at
// once says nothing of the requests that they ran.
constexpr milliseconds kOneFailure{200};

// How long a crash is held against a request. Its caller gives up before.
constexpr seconds kHeldFor{60};

// Words are told about once a second at least, and any may be lost.
constexpr seconds kToldFor{4};

// Requests that are remembered, and notices that are told, at the most.
constexpr std::size_t kMaxEntries = 1024;
constexpr std::size_t kMaxNotices = 16;

}  // namespace

void crash_ledger::OnCrash(request_digest digest,
                           const target_id& target,
                           timestamp now) {
  NoteCrash(digest, target, now);
}

void crash_ledger::OnAnswered(request_digest digest, timestamp now) {
  NoteAnswer(digest, now);
}

void crash_ledger::OnNotice(const crash_notice& notice, timestamp now) {
  if (notice.target)
    return NoteCrash(notice.digest, *notice.target, now - notice.age);
  NoteAnswer(notice.digest, now - notice.age);
}

void crash_ledger::NoteCrash(request_digest digest,
                             const target_id& target,
                             timestamp at) {
  if (!entries_.contains(digest) && entries_.size() >= kMaxEntries)
    return;
  entry& held = entries_[digest];
  if (held.answered_at && at <= *held.answered_at)
    return;
  for (const crash& known : held.crashes) {
    if (known.target == target)
      return;
    const microseconds apart = known.at > at ? known.at - at : at - known.at;
    if (apart < kOneFailure)
      return;
  }
  held.crashes.push_back({target, at});
  std::sort(
      held.crashes.begin(), held.crashes.end(),
      [](const crash& left, const crash& right) { return left.at < right.at; });
}

void crash_ledger::NoteAnswer(request_digest digest, timestamp at) {
  const auto found = entries_.find(digest);
  if (found == entries_.end())
    return;
  entry& held = found->second;
  if (held.answered_at && at <= *held.answered_at)
    return;
  held.answered_at = at;
  std::erase_if(held.crashes,
                [&](const crash& known) { return known.at <= at; });
}

std::optional<timestamp> crash_ledger::QuarantinedUntil(request_digest digest,
                                                        timestamp now) const {
  const auto found = entries_.find(digest);
  if (found == entries_.end() ||
      found->second.crashes.size() < kCrashesToQuarantine)
    return std::nullopt;
  const auto& crashes = found->second.crashes;
  // It ends when fewer than the needed number of crashes are held.
  const timestamp until =
      crashes[crashes.size() - kCrashesToQuarantine].at + kHeldFor;
  if (now >= until)
    return std::nullopt;
  return until;
}

std::vector<crash_notice> crash_ledger::Notices(timestamp now) const {
  std::vector<crash_notice> notices;
  for (const auto& [digest, held] : entries_) {
    for (const crash& known : held.crashes)
      notices.push_back({digest, known.target, now - known.at});
    if (held.answered_at)
      notices.push_back({digest, std::nullopt, now - *held.answered_at});
  }
  std::erase_if(notices, [](const crash_notice& notice) {
    return notice.age > kToldFor;
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
  for (auto& [digest, held] : entries_) {
    std::erase_if(held.crashes, [&](const crash& known) {
      return now >= known.at + kHeldFor;
    });
    if (held.answered_at && now >= *held.answered_at + kHeldFor)
      held.answered_at.reset();
  }
  std::erase_if(entries_, [](const auto& item) {
    return item.second.crashes.empty() && !item.second.answered_at;
  });
}

}  // namespace wist
