#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "cluster/cluster_module.h"

namespace wist {
namespace {

class cluster_view final : public i_cluster_view {
 public:
  cluster_view(const cluster_settings& settings,
               const member_record& self,
               std::uint64_t seed)
      : settings_(settings), self_(self), random_(seed) {}

  gossip_message BuildGossip(timestamp now) override {
    ++self_.heartbeat;
    gossip_message message;
    message.self = self_;
    message.configuration_version = configuration_.version;
    message.members = FreshestRecords(now);
    message.domain_statuses = RecentStatuses(now);
    if (StoreIsFresh(now))
      message.store = store_status{store_version_, AgeOf(store_read_at_, now)};
    return message;
  }

  void OnGossipResponse(const gossip_message& message,
                        timestamp requested_at,
                        timestamp now) override {
    OnGossipRequest(message, now);
    for (const domain_status& status : message.domain_statuses)
      MergeStatus(status, requested_at - status.age);
    if (message.store)
      OnStoreRead(message.store->version, requested_at - message.store->age);
  }

  void OnGossipRequest(const gossip_message& message, timestamp now) override {
    MergeRecord(message.self, now);
    for (const member_record& record : message.members)
      MergeRecord(record, now);
    RemoveExpiredMembers(now);
  }

  void AddSeed(const std::string& address) override {
    if (address != self_.address)
      seeds_.insert(address);
  }

  std::optional<std::string> NextPeer(timestamp now) override {
    std::vector<std::string> local_peers;
    std::vector<std::string> foreign_peers;
    std::set<std::string> unknown_seeds = seeds_;
    for (const auto& [id, member] : members_) {
      unknown_seeds.erase(member.record.address);
      if (!IsLive(member, now))
        continue;
      auto& peers =
          member.record.domain == self_.domain ? local_peers : foreign_peers;
      peers.push_back(member.record.address);
    }
    // Every fourth call returns a seed that is not a known member, if there is
    // one: a whole failure domain may have been unreachable when this instance
    // started.
    peer_round_ = (peer_round_ + 1) % 4;
    std::vector<std::string> unknown_seed_list(unknown_seeds.begin(),
                                               unknown_seeds.end());
    if (local_peers.empty() && foreign_peers.empty())
      return PickRandom(unknown_seed_list);
    if (peer_round_ == 0 && !unknown_seed_list.empty())
      return PickRandom(unknown_seed_list);
    const bool prefer_foreign = peer_round_ % 2 == 1;
    if (prefer_foreign ? !foreign_peers.empty() : local_peers.empty())
      return PickRandom(foreign_peers);
    return PickRandom(local_peers);
  }

  std::vector<member_record> LiveMembers(timestamp now) const override {
    std::vector<member_record> live;
    if (!self_.leaving)
      live.push_back(self_);
    for (const auto& [id, member] : members_) {
      if (IsLive(member, now) && !member.record.leaving)
        live.push_back(member.record);
    }
    return live;
  }

  std::vector<member_record> LiveMembersInDomain(const domain_id& domain,
                                                 timestamp now) const override {
    std::vector<member_record> live = LiveMembers(now);
    std::erase_if(live, [&](const member_record& record) {
      return record.domain != domain;
    });
    return live;
  }

  void OnConfiguration(const configuration_document& document) override {
    configuration_ = document;
  }

  void OnStoreRead(std::int64_t version, timestamp read_at) override {
    // The newer version counts even if it was read earlier, because the store
    // may have been restored from an older copy.
    if (store_was_read_ && version < store_version_)
      return;
    if (version > store_version_ || read_at > store_read_at_)
      store_read_at_ = read_at;
    store_version_ = version;
    store_was_read_ = true;
  }

  bool MayDispatchInto(const domain_id& domain, timestamp now) const override {
    if (!IsDomainIn(domain))
      return false;
    // A failure domain continues to serve its own callers while it is isolated
    // from the others and from the store.
    if (domain == self_.domain)
      return true;
    if (StoreIsFresh(now) && store_version_ <= configuration_.version)
      return true;
    const auto status = statuses_.find(domain);
    return status != statuses_.end() && status->second.in &&
           status->second.version >= configuration_.version &&
           now < status->second.stated_at + settings_.status_validity;
  }

  bool StoreIsFresh(timestamp now) const override {
    return store_was_read_ && now < store_read_at_ + settings_.status_validity;
  }

  void SetLeaving() override { self_.leaving = true; }

  bool IsSuperseded() const override { return superseded_; }

 private:
  struct member_state {
    member_record record;
    timestamp advanced_at;
  };
  struct known_status {
    std::int64_t version = 0;
    bool in = false;
    timestamp stated_at;
  };

  bool IsLive(const member_state& member, timestamp now) const {
    return now < member.advanced_at + settings_.member_timeout;
  }

  bool IsDomainIn(const domain_id& domain) const {
    for (const domain_spec& spec : configuration_.body.domains) {
      if (spec.id == domain)
        return spec.state == domain_state::in;
    }
    return false;
  }

  static milliseconds AgeOf(timestamp at, timestamp now) {
    return std::chrono::ceil<milliseconds>(now - at);
  }

  std::vector<member_record> FreshestRecords(timestamp now) const {
    std::vector<const member_state*> live;
    for (const auto& [id, member] : members_) {
      if (IsLive(member, now))
        live.push_back(&member);
    }
    std::sort(live.begin(), live.end(), [&](const auto* a, const auto* b) {
      const bool a_local = a->record.domain == self_.domain;
      const bool b_local = b->record.domain == self_.domain;
      if (a_local != b_local)
        return a_local;
      return a->advanced_at > b->advanced_at;
    });
    if (live.size() > settings_.max_records_per_message)
      live.resize(settings_.max_records_per_message);
    std::vector<member_record> records;
    for (const member_state* member : live)
      records.push_back(member->record);
    return records;
  }

  std::vector<domain_status> RecentStatuses(timestamp now) const {
    std::vector<domain_status> statuses;
    statuses.push_back({self_.domain, configuration_.version,
                        IsDomainIn(self_.domain), milliseconds(0)});
    for (const auto& [domain, status] : statuses_) {
      if (domain != self_.domain &&
          now < status.stated_at + settings_.status_validity)
        statuses.push_back(
            {domain, status.version, status.in, AgeOf(status.stated_at, now)});
    }
    return statuses;
  }

  void MergeRecord(const member_record& record, timestamp now) {
    if (record.id == self_.id) {
      superseded_ |= record.incarnation > self_.incarnation;
      return;
    }
    const auto found = members_.find(record.id);
    if (found == members_.end()) {
      members_[record.id] = {record, now};
      return;
    }
    const member_record& known = found->second.record;
    const auto recency = [](const member_record& r) {
      return std::pair(r.incarnation, r.heartbeat);
    };
    if (recency(record) > recency(known))
      found->second = {record, now};
  }

  void RemoveExpiredMembers(timestamp now) {
    std::erase_if(members_, [&](const auto& entry) {
      return now > entry.second.advanced_at + settings_.dead_member_retention;
    });
  }

  void MergeStatus(const domain_status& status, timestamp stated_at) {
    known_status& known = statuses_[status.domain];
    if (status.version < known.version)
      return;
    if (status.version > known.version || stated_at > known.stated_at)
      known = {status.version, status.in, stated_at};
  }

  std::optional<std::string> PickRandom(
      const std::vector<std::string>& addresses) {
    if (addresses.empty())
      return std::nullopt;
    std::uniform_int_distribution<std::size_t> index_distribution(
        0, addresses.size() - 1);
    return addresses[index_distribution(random_)];
  }

  const cluster_settings settings_;
  member_record self_;
  std::mt19937_64 random_;
  std::set<std::string> seeds_;
  std::map<instance_id, member_state> members_;
  std::map<domain_id, known_status> statuses_;
  configuration_document configuration_;
  bool store_was_read_ = false;
  std::int64_t store_version_ = 0;
  timestamp store_read_at_;
  int peer_round_ = 0;
  bool superseded_ = false;
};

}  // namespace

std::unique_ptr<i_cluster_view> MakeClusterView(
    const cluster_settings& settings,
    const member_record& self,
    std::uint64_t seed) {
  return std::make_unique<cluster_view>(settings, self, seed);
}

}  // namespace wist
