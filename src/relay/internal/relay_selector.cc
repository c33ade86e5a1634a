#include "relay/relay_selector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "framework/base/hashing.h"

namespace wist {
namespace {

// Maximum number of open relays of this instance through another one.
constexpr int kMaxOpenRelays = 64;

// Time for which an instance that refused a request is not used.
constexpr milliseconds kRefusalTime{1000};

// Time for which it comes after all others, unless it responds before. A cut
// lasts for seconds, and instances that serve need no substitute.
constexpr milliseconds kRefusalMemory{10'000};

// Time for which an instance that failed is not used; doubles with each further
// failure. Instances that ended stay announced for minutes.
constexpr milliseconds kFailureTime{1000};
constexpr int kMaxDoublings = 4;

// Number of instances among which the one with the fewest open relays is
// chosen.
constexpr std::size_t kCandidates = 2;

}  // namespace

void relay_selector::SetInstances(const domain_id& own_domain,
                                  const std::vector<known_instance>& others) {
  own_domain_ = own_domain;
  std::map<std::string, relay_state> known = std::move(instances_);
  instances_.clear();
  for (const known_instance& instance : others) {
    if (instance.relay_port == 0)
      continue;
    const auto found = known.find(instance.name);
    relay_state& relay = instances_[instance.name];
    // Relays that are open end at the instance under its earlier address too.
    if (found != known.end())
      relay = found->second;
    relay.instance = instance;
  }
}

bool relay_selector::IsUsable(const relay_state& relay, timestamp now) const {
  return relay.open_count < kMaxOpenRelays &&
         (!relay.unusable_until || now >= *relay.unusable_until);
}

int relay_selector::Tier(const relay_state& relay, timestamp now) const {
  if (relay.refused_until && now < *relay.refused_until)
    return 3;
  const auto refusing = refusing_domains_.find(relay.instance.domain);
  if (refusing != refusing_domains_.end() && now < refusing->second)
    return 2;
  return relay.instance.domain == own_domain_ ? 0 : 1;
}

std::optional<known_instance> relay_selector::Choose(
    const std::string& request_id,
    const std::set<std::string>& excluded,
    timestamp now) const {
  using ranked_relay = std::tuple<int, std::uint64_t, const relay_state*>;
  const std::uint64_t seed = StableHash(request_id);
  std::vector<ranked_relay> ranked;
  for (const auto& [name, relay] : instances_) {
    if (!excluded.contains(name) && IsUsable(relay, now))
      ranked.emplace_back(Tier(relay, now), StableHash(name, seed), &relay);
  }
  if (ranked.empty())
    return std::nullopt;
  std::sort(ranked.begin(), ranked.end());
  const relay_state* chosen = std::get<2>(ranked.front());
  for (std::size_t i = 1; i < std::min(ranked.size(), kCandidates); ++i) {
    const auto& [tier, hash, relay] = ranked[i];
    if (tier == std::get<0>(ranked.front()) &&
        relay->open_count < chosen->open_count)
      chosen = relay;
  }
  return chosen->instance;
}

void relay_selector::OnStart(const std::string& instance) {
  const auto found = instances_.find(instance);
  if (found != instances_.end())
    ++found->second.open_count;
}

void relay_selector::OnEnd(const std::string& instance) {
  const auto found = instances_.find(instance);
  if (found != instances_.end() && found->second.open_count > 0)
    --found->second.open_count;
}

void relay_selector::OnReceived(const std::string& instance, timestamp now) {
  const auto found = instances_.find(instance);
  if (found != instances_.end())
    found->second.received_at = now;
}

void relay_selector::OnResponse(const std::string& instance) {
  const auto found = instances_.find(instance);
  if (found == instances_.end())
    return;
  found->second.failure_count = 0;
  found->second.unusable_until.reset();
  found->second.refused_until.reset();
  refusing_domains_.erase(found->second.instance.domain);
}

void relay_selector::OnFailure(const std::string& instance, timestamp now) {
  const auto found = instances_.find(instance);
  if (found == instances_.end())
    return;
  relay_state& relay = found->second;
  relay.unusable_until =
      now + kFailureTime * (1 << std::min(relay.failure_count, kMaxDoublings));
  ++relay.failure_count;
}

void relay_selector::OnSilence(const std::string& instance,
                               timestamp sent_at,
                               timestamp now) {
  const auto found = instances_.find(instance);
  if (found != instances_.end() && found->second.received_at <= sent_at)
    OnFailure(instance, now);
}

void relay_selector::OnRefusal(const std::string& instance, timestamp now) {
  const auto found = instances_.find(instance);
  if (found == instances_.end())
    return;
  found->second.unusable_until = now + kRefusalTime;
  found->second.refused_until = now + kRefusalMemory;
  refusing_domains_[found->second.instance.domain] = now + kRefusalTime;
}

}  // namespace wist
