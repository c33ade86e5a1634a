#include "stand_ins/platform/platform_model.h"

namespace wist::stand_ins {

bool platform_model::AdmitRead(timestamp now) {
  ++counters_.reads;
  return Admit(recent_reads_, settings_.max_reads_per_second, now);
}

bool platform_model::AdmitWrite(timestamp now) {
  ++counters_.writes;
  return Admit(recent_writes_, settings_.max_writes_per_second, now);
}

bool platform_model::Admit(std::deque<timestamp>& recent,
                           int max_per_second,
                           timestamp now) {
  while (!recent.empty() && recent.front() <= now - seconds(1))
    recent.pop_front();
  if (recent.size() >= static_cast<std::size_t>(max_per_second)) {
    ++counters_.refused;
    return false;
  }
  recent.push_back(now);
  return true;
}

kv_entry platform_model::Read(const std::string& key) const {
  const auto found = values_.find(key);
  if (found == values_.end() || found->second.empty())
    return {};
  return found->second.back();
}

kv_swap_result platform_model::CompareAndSwap(const std::string& key,
                                              std::uint64_t expected,
                                              const std::string& value) {
  const kv_entry current = Read(key);
  if (current.revision != expected) {
    ++counters_.conflicts;
    return kv_conflict{current};
  }
  values_[key].push_back({value, ++revision_});
  return kv_written{revision_};
}

std::optional<kv_lease> platform_model::AcquireLease(const std::string& name,
                                                     const std::string& holder,
                                                     milliseconds validity,
                                                     timestamp now) {
  const auto found = leases_.find(name);
  const bool is_valid = found != leases_.end() && found->second.deadline > now;
  if (is_valid && found->second.holder != holder)
    return std::nullopt;
  // A renewal keeps the fencing number. A holder whose lease has expired gets a
  // new number, since another holder may have had the lease in between.
  const std::uint64_t number =
      is_valid ? found->second.fencing_number : ++last_fencing_number_;
  leases_[name] = {name, holder, number, now + validity};
  return leases_[name];
}

void platform_model::ReleaseLease(const std::string& name,
                                  const std::string& holder) {
  const auto found = leases_.find(name);
  if (found != leases_.end() && found->second.holder == holder)
    leases_.erase(found);
}

void platform_model::Announce(const listed_instance& instance, timestamp now) {
  instance_map list =
      list_history_.empty() ? instance_map{} : list_history_.rbegin()->second;
  list[instance.id] = instance;
  PublishList(now, std::move(list));
}

void platform_model::Withdraw(const std::string& id, timestamp now) {
  if (list_history_.empty())
    return;
  instance_map list = list_history_.rbegin()->second;
  list.erase(id);
  PublishList(now, std::move(list));
}

void platform_model::PublishList(timestamp now, instance_map list) {
  list_history_[now] = std::move(list);
  // Removes the lists older than the one that List() returns now: the newest
  // list that is at least the list lag old.
  auto first_not_visible = list_history_.upper_bound(now - settings_.list_lag);
  if (first_not_visible != list_history_.begin())
    list_history_.erase(list_history_.begin(), std::prev(first_not_visible));
}

std::vector<listed_instance> platform_model::List(timestamp now) const {
  const auto after = list_history_.upper_bound(now - settings_.list_lag);
  std::vector<listed_instance> listed;
  if (after == list_history_.begin())
    return listed;
  for (const auto& [id, instance] : std::prev(after)->second)
    listed.push_back(instance);
  return listed;
}

void platform_model::RollBack(std::uint64_t revision) {
  for (auto& [key, versions] : values_) {
    while (!versions.empty() && versions.back().revision > revision)
      versions.pop_back();
  }
}

}  // namespace wist::stand_ins
