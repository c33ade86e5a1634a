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

  gossip Tell(timestamp now) override {
    ++self_.heartbeat;
    gossip told;
    told.self = self_;
    told.configuration_version = configuration_.version;
    told.members = FreshestRecords(now);
    told.words = LiveWords(now);
    if (StoreIsFresh(now))
      told.store = store_word{store_version_, AgeOf(store_read_at_, now)};
    return told;
  }

  void OnAnswer(const gossip& told,
                timestamp called_at,
                timestamp now) override {
    OnCall(told, now);
    for (const domain_word& word : told.words)
      TakeWord(word, called_at - word.age);
    if (told.store)
      OnStoreRead(told.store->version, called_at - told.store->age);
  }

  void OnCall(const gossip& told, timestamp now) override {
    TakeRecord(told.self, now);
    for (const member_record& record : told.members)
      TakeRecord(record, now);
    Forget(now);
  }

  void AddSeed(const std::string& address) override {
    if (address != self_.address)
      seeds_.insert(address);
  }

  std::optional<std::string> NextPeer(timestamp now) override {
    std::vector<std::string> local;
    std::vector<std::string> foreign;
    std::set<std::string> unknown = seeds_;
    for (const auto& [id, member] : members_) {
      unknown.erase(member.record.address);
      if (!IsLive(member, now))
        continue;
      auto& list = member.record.domain == self_.domain ? local : foreign;
      list.push_back(member.record.address);
    }
    // Seeds that never answered are asked now and then: a whole failure
    // domain may have been cut off when this instance started.
    turn_ = (turn_ + 1) % 4;
    std::vector<std::string> unknown_list(unknown.begin(), unknown.end());
    if (local.empty() && foreign.empty())
      return Draw(unknown_list);
    if (turn_ == 0 && !unknown_list.empty())
      return Draw(unknown_list);
    const bool prefer_foreign = turn_ % 2 == 1;
    if (prefer_foreign ? !foreign.empty() : local.empty())
      return Draw(foreign);
    return Draw(local);
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

  std::vector<member_record> LiveMembersOf(const domain_id& domain,
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
    // Of two versions the newer counts also if it was read earlier: the store
    // may have come back with an older copy.
    if (store_seen_ && version < store_version_)
      return;
    if (version > store_version_ || read_at > store_read_at_)
      store_read_at_ = read_at;
    store_version_ = version;
    store_seen_ = true;
  }

  bool MayDispatchInto(const domain_id& domain, timestamp now) const override {
    if (!IsIn(domain))
      return false;
    // A failure domain goes on serving its own callers also while it is cut
    // off from everything.
    if (domain == self_.domain)
      return true;
    if (StoreIsFresh(now) && store_version_ <= configuration_.version)
      return true;
    const auto word = words_.find(domain);
    return word != words_.end() && word->second.in &&
           word->second.version >= configuration_.version &&
           now < word->second.said_at + settings_.word_validity;
  }

  bool StoreIsFresh(timestamp now) const override {
    return store_seen_ && now < store_read_at_ + settings_.word_validity;
  }

  void SetLeaving() override { self_.leaving = true; }

  bool Superseded() const override { return superseded_; }

 private:
  struct member_state {
    member_record record;
    timestamp advanced_at;
  };
  struct held_word {
    std::int64_t version = 0;
    bool in = false;
    timestamp said_at;
  };

  bool IsLive(const member_state& member, timestamp now) const {
    return now < member.advanced_at + settings_.member_validity;
  }

  bool IsIn(const domain_id& domain) const {
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
    if (live.size() > settings_.records_a_message)
      live.resize(settings_.records_a_message);
    std::vector<member_record> records;
    for (const member_state* member : live)
      records.push_back(member->record);
    return records;
  }

  std::vector<domain_word> LiveWords(timestamp now) const {
    std::vector<domain_word> words;
    words.push_back({self_.domain, configuration_.version, IsIn(self_.domain),
                     milliseconds(0)});
    for (const auto& [domain, word] : words_) {
      if (domain != self_.domain &&
          now < word.said_at + settings_.word_validity)
        words.push_back(
            {domain, word.version, word.in, AgeOf(word.said_at, now)});
    }
    return words;
  }

  void TakeRecord(const member_record& record, timestamp now) {
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
    const auto order = [](const member_record& r) {
      return std::pair(r.incarnation, r.heartbeat);
    };
    if (order(record) > order(known))
      found->second = {record, now};
  }

  void Forget(timestamp now) {
    std::erase_if(members_, [&](const auto& entry) {
      return now > entry.second.advanced_at + settings_.forget_after;
    });
  }

  void TakeWord(const domain_word& word, timestamp said_at) {
    held_word& held = words_[word.domain];
    if (word.version < held.version)
      return;
    if (word.version > held.version || said_at > held.said_at)
      held = {word.version, word.in, said_at};
  }

  std::optional<std::string> Draw(const std::vector<std::string>& addresses) {
    if (addresses.empty())
      return std::nullopt;
    std::uniform_int_distribution<std::size_t> any(0, addresses.size() - 1);
    return addresses[any(random_)];
  }

  const cluster_settings settings_;
  member_record self_;
  std::mt19937_64 random_;
  std::set<std::string> seeds_;
  std::map<instance_id, member_state> members_;
  std::map<domain_id, held_word> words_;
  configuration_document configuration_;
  bool store_seen_ = false;
  std::int64_t store_version_ = 0;
  timestamp store_read_at_;
  int turn_ = 0;
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
