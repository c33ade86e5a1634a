#include "peers/notice_outbox.h"

#include <algorithm>

namespace wist {
namespace {

// With one message in ten lost, one notice in ten thousand gets lost on a link.
constexpr milliseconds kRepeatInterval{200};

// Time for which a notice is kept for instances that become neighbors.
constexpr milliseconds kRetention{4000};

// Notices per message; keeps it far below the maximum size of a datagram.
constexpr std::size_t kMaxNoticesPerMessage = 64;

constexpr std::size_t kMaxNotices = 512;

// The same event is reported with ages that differ by the delays on the way.
constexpr milliseconds kSameEventTolerance{100};

}  // namespace

bool notice_outbox::Add(const crash_notice& notice, timestamp now) {
  const notice_key key{notice.subject, notice.target};
  const timestamp happened_at = now - notice.age;
  const auto known = happened_at_.find(key);
  if (known != happened_at_.end() &&
      happened_at <= known->second + kSameEventTolerance)
    return false;
  happened_at_[key] = happened_at;
  if (notices_.size() >= kMaxNotices) {
    notices_.pop_front();
    ++first_number_;
  }
  notices_.push_back({notice, now});
  return true;
}

// An instance that has just become a neighbor is sent all notices once.
notice_outbox::send_positions notice_outbox::PositionsOf(
    const std::string& neighbor) const {
  const auto known = positions_.find(neighbor);
  send_positions positions;
  if (known != positions_.end())
    positions = known->second;
  else
    positions.fill(first_number_ + notices_.size());
  for (std::uint64_t& position : positions)
    position = std::max(position, first_number_);
  if (known == positions_.end())
    positions[0] = first_number_;
  return positions;
}

bool notice_outbox::IsDue(std::uint64_t position,
                          std::size_t send,
                          timestamp now) const {
  const std::uint64_t index = position - first_number_;
  return index < notices_.size() &&
         now >= notices_[index].added_at +
                    kRepeatInterval * static_cast<std::int64_t>(send);
}

bool notice_outbox::HasDue(const std::string& neighbor, timestamp now) const {
  const send_positions positions = PositionsOf(neighbor);
  for (std::size_t send = 0; send < kMaxSends; ++send) {
    if (IsDue(positions[send], send, now))
      return true;
  }
  return false;
}

std::vector<crash_notice> notice_outbox::TakeDue(const std::string& neighbor,
                                                 timestamp now) {
  std::vector<crash_notice> due;
  send_positions positions = PositionsOf(neighbor);
  for (std::size_t send = 0; send < kMaxSends; ++send) {
    while (due.size() < kMaxNoticesPerMessage &&
           IsDue(positions[send], send, now)) {
      const held_notice& held = notices_[positions[send]++ - first_number_];
      due.push_back(held.notice);
      due.back().age += now - held.added_at;
    }
  }
  positions_[neighbor] = positions;
  return due;
}

void notice_outbox::ForgetNeighbor(const std::string& neighbor) {
  positions_.erase(neighbor);
}

void notice_outbox::Expire(timestamp now) {
  while (!notices_.empty() && now >= notices_.front().added_at + kRetention) {
    notices_.pop_front();
    ++first_number_;
  }
  if (notices_.empty())
    happened_at_.clear();
}

}  // namespace wist
