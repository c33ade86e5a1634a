#include "peers/instance_backoff.h"

#include <algorithm>

namespace wist {
namespace {

constexpr milliseconds kInitialBackoff{2000};
constexpr int kMaxDoublings = 3;

// An instance that did not fail for this long after its backoff is forgotten.
// Instances come and go under new names.
constexpr milliseconds kForgetAfter{60'000};

}  // namespace

void instance_backoff::OnFailure(const std::string& instance, timestamp now) {
  std::erase_if(entries_, [&](const auto& item) {
    return now >= item.second.deadline + kForgetAfter;
  });
  entry& failed = entries_[instance];
  failed.deadline =
      now + kInitialBackoff * (1 << std::min(failed.failures, kMaxDoublings));
  ++failed.failures;
}

void instance_backoff::OnSuccess(const std::string& instance) {
  entries_.erase(instance);
}

bool instance_backoff::IsUsable(const std::string& instance,
                                timestamp now) const {
  const auto found = entries_.find(instance);
  return found == entries_.end() || now >= found->second.deadline;
}

std::set<std::string> instance_backoff::Unusable(timestamp now) const {
  std::set<std::string> names;
  for (const auto& [name, failed] : entries_) {
    if (now < failed.deadline)
      names.insert(name);
  }
  return names;
}

}  // namespace wist
