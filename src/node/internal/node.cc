#include <atomic>
#include <mutex>
#include <set>

#include "claims/claims_module.h"
#include "configuration/configuration_module.h"
#include "configuration/configuration_text.h"
#include "framework/base/periodic_thread.h"
#include "node/internal/admission_desk.h"
#include "node/internal/claim_forwarder.h"
#include "node/internal/cluster_desk.h"
#include "node/internal/duty_ranking.h"
#include "node/internal/limit_desk.h"
#include "node/internal/load_poller.h"
#include "node/internal/peer_exchange.h"
#include "node/internal/plain_router.h"
#include "node/internal/store_follower.h"
#include "node/node_module.h"
#include "peer_link/peer_link_module.h"

namespace wist {
namespace {

constexpr milliseconds kGossipPause{400};
constexpr milliseconds kExchangePause{1000};
constexpr milliseconds kTallyCheckPause{50};
constexpr milliseconds kStorePause{50};
constexpr milliseconds kDutyPause{2000};
constexpr milliseconds kPumpPause{20};
constexpr milliseconds kPeerCallLimit{400};
constexpr milliseconds kStrikeCallLimit{300};
constexpr milliseconds kForwardedClaimLimit{500};
constexpr milliseconds kStoreCallLimit{1000};
constexpr milliseconds kColdLeaseValidity{10'000};

// A new instance serves without word from its peers after this time.
constexpr milliseconds kPeerWordLimit{3000};

// Members of a failure domain that watch the store.
constexpr std::size_t kWatchersADomain = 2;

// Threads that ask targets for their load; one frozen target holds up those
// of its own thread only.
constexpr std::size_t kPollThreads = 4;

class node final : public i_node, private i_node_status {
 public:
  node(const node_settings& settings, const node_services& services)
      : settings_(settings),
        services_(services),
        started_at_(services.clock->Now()),
        holder_(MakeConfigurationHolder()),
        cluster_(std::make_shared<cluster_desk>(settings, services.clock)),
        admission_(settings, services.clock, cluster_),
        limits_(services.clock),
        plain_router_(settings.domain, services.clock, cluster_),
        follower_(services.store,
                  services.clock,
                  holder_,
                  cluster_,
                  services.logger),
        link_(MakePeerLink(services.clock, services.keys, settings.domain)),
        duties_(settings, cluster_),
        exchange_(settings,
                  services.clock,
                  holder_,
                  cluster_,
                  link_,
                  admission_,
                  limits_,
                  duties_),
        sweeper_(MakeClaimSweeper(services.store, {})) {
    for (const std::string& peer : settings.seed_peers)
      cluster_->AddSeed(peer);
    limits_.SubscribeToStrikes([this] { TellNeighbours(); });
    holder_->Subscribe([this](const auto& document) { Apply(*document); });
    server_ = MakePeerServer(
        settings.peer_address, services.keys,
        [this](const addressed_call& call) { return Answer(call); });
    services.claims->SetForwarder(
        std::make_shared<claim_forwarder>(settings.instance, cluster_, link_));
    StartThreads();
  }

  ~node() override {
    threads_.clear();
    server_.reset();
  }

  // i_node:
  i_admission_desk& admission() override { return admission_; }
  i_limit_desk& limits() override { return limits_; }
  i_plain_router& plain_router() override { return plain_router_; }
  i_node_status& status() override { return *this; }

  void CutFrom(const std::vector<domain_id>& domains) override {
    std::lock_guard lock(cut_mutex_);
    cut_domains_ = {domains.begin(), domains.end()};
  }

  void BeginLeaving() override {
    leaving_ = true;
    cluster_->SetLeaving();
    try {
      services_.instance_list->Withdraw(SelfListed(), Limit(kStoreCallLimit));
    } catch (const kv_unavailable& error) {
      LogUnavailable("withdraw", error);
    }
    if (cluster_->HoldsLease()) {
      services_.store->ReleaseLease({ColdLeaseName(settings_.domain),
                                     settings_.instance.text(), 0, timestamp()},
                                    Limit(kStoreCallLimit));
    }
  }

 private:
  // i_node_status:
  bool Ready() const override {
    return !leaving_ && holder_->Current() && HeardPeers() &&
           !cluster_->Superseded();
  }
  std::shared_ptr<const configuration_document> Configuration() const override {
    return holder_->Current();
  }
  std::vector<member_record> LiveMembers() const override {
    return cluster_->LiveMembers();
  }
  bool StoreIsFresh() const override { return cluster_->StoreIsFresh(); }
  bool HoldsColdLease() const override { return cluster_->HoldsLease(); }
  std::uint64_t ControlBytes() const override {
    return link_->BytesMoved() + server_->BytesMoved();
  }

  // NOTE: the store may have come back older than what the peers hold, so a
  // new instance hears at least one of them before it serves.
  bool HeardPeers() const {
    return heard_peer_ ||
           services_.clock->Now() >= started_at_ + kPeerWordLimit;
  }

  void StartThreads() {
    Start(kGossipPause, [this] { Gossip(); });
    Start(kTallyCheckPause, [this] { exchange_.TalliesWhenDue(); });
    Start(kExchangePause, [this] { exchange_.Limits(); });
    Start(kExchangePause, [this] { exchange_.Permits(); });
    Start(kStorePause, [this] { FollowStore(); });
    Start(kDutyPause, [this] { DoPlatformDuties(); });
    Start(kPumpPause, [this] { admission_.Pump(); });
    for (std::size_t part = 0; part < kPollThreads; ++part)
      Start(settings_.poll_interval, [this, part] { PollTargets(part); });
  }

  void Start(milliseconds pause, std::function<void()> step) {
    threads_.push_back(
        std::make_unique<periodic_thread>(pause, std::move(step)));
  }

  timestamp Limit(milliseconds span) const {
    return services_.clock->Now() + span;
  }

  void Apply(const configuration_document& document) {
    cluster_->ApplyConfiguration(document);
    limits_.ApplyConfiguration(document.body);
    plain_router_.ApplyConfiguration(document.body);
    admission_.ApplyConfiguration(document.body);
    std::string out;
    for (const domain_spec& domain : document.body.domains) {
      if (domain.state == domain_state::out)
        out += (out.empty() ? "" : ",") + domain.id.text();
    }
    services_.logger->Write(log_level::audit, "configuration",
                            {{"version", document.version},
                             {"change_id", document.change_id},
                             {"author", document.author},
                             {"digest", BodyDigest(document.body)},
                             {"out_domains", out}});
  }

  // Gossip -------------------------------------------------------------------

  void Gossip() {
    const auto peer = cluster_->NextPeer();
    if (!peer)
      return;
    const timestamp called_at = services_.clock->Now();
    try {
      gossip told = cluster_->Tell();
      told.strikes = limits_.StrikesToTell();
      const peer_answer answer =
          link_->Call(*peer, gossip_call{told}, called_at + kPeerCallLimit);
      const auto* heard = std::get_if<gossip_answer>(&answer);
      if (!heard)
        return;
      cluster_->OnGossipAnswer(heard->told, called_at);
      limits_.OnToldStrikes(heard->told.strikes);
      FetchIfNewer(*peer, heard->told.configuration_version);
      heard_peer_ = true;
    } catch (const peer_error& error) {
      services_.logger->Write(
          log_level::debug, "peer_unreachable",
          {{"peer", *peer}, {"reason", std::string(error.what())}});
    }
  }

  // Tells the whole domain of a crash at once. The request that caused it waits
  // for this, so its caller cannot be quicker at another instance.
  void TellNeighbours() {
    gossip told = cluster_->Tell();
    told.strikes = limits_.StrikesToTell();
    for (const member_record& member :
         cluster_->LiveMembersOf(settings_.domain)) {
      if (member.id == settings_.instance)
        continue;
      try {
        link_->Call(member.address, gossip_call{told}, Limit(kStrikeCallLimit));
      } catch (const peer_error&) {
        // It hears of it by gossip.
      }
    }
  }

  void FetchIfNewer(const std::string& peer, std::int64_t version) {
    const auto held = holder_->Current();
    if (version <= (held ? held->version : 0))
      return;
    const peer_answer answer =
        link_->Call(peer, configuration_call{}, Limit(kPeerCallLimit));
    const auto* text = std::get_if<configuration_answer>(&answer);
    if (!text || text->document.empty())
      return;
    try {
      holder_->Offer(DecodeDocument(text->document));
    } catch (const configuration_parse_error& error) {
      services_.logger->Write(log_level::error, "peer_configuration_unreadable",
                              {{"reason", std::string(error.what())}});
    }
  }

  peer_answer Answer(const addressed_call& addressed) {
    struct visitor {
      node& self;
      peer_answer operator()(const gossip_call& call) const {
        self.cluster_->OnGossipCall(call.told);
        self.limits_.OnToldStrikes(call.told.strikes);
        gossip told = self.cluster_->Tell();
        told.strikes = self.limits_.StrikesToTell();
        return gossip_answer{told};
      }
      peer_answer operator()(const configuration_call&) const {
        const auto held = self.holder_->Current();
        return configuration_answer{held ? EncodeDocument(*held) : ""};
      }
      peer_answer operator()(const tally_call& call) const {
        return tally_answer{self.cluster_->ExchangeTallies(call)};
      }
      peer_answer operator()(const permit_call& call) const {
        return permit_answer{self.cluster_->ExchangePermits(call)};
      }
      peer_answer operator()(const claim_call& call) const {
        return claim_answer{self.services_.claims->ApplyForwarded(
            call.operations, self.Limit(kForwardedClaimLimit))};
      }
    };
    if (IsCutFrom(addressed.from))
      return refusal_answer{};
    return std::visit(visitor{*this}, addressed.call);
  }

  bool IsCutFrom(const domain_id& domain) const {
    std::lock_guard lock(cut_mutex_);
    return cut_domains_.contains(domain);
  }

  // Platform -----------------------------------------------------------------

  void FollowStore() {
    const bool needed = !holder_->Current() || !cluster_->StoreIsFresh();
    if (!needed && !duties_.Has("watch/", kWatchersADomain))
      return;
    try {
      follower_.Follow();
    } catch (const kv_unavailable& error) {
      LogUnavailable("watch", error);
      std::this_thread::sleep_for(kGossipPause);
    }
  }

  listed_instance SelfListed() const {
    return {settings_.instance.text(), settings_.domain.text(),
            settings_.peer_address, leaving_};
  }

  void DoPlatformDuties() {
    try {
      if (!announced_ && !leaving_) {
        services_.instance_list->Announce(SelfListed(), Limit(kStoreCallLimit));
        announced_ = true;
      }
      if (cluster_->LiveMembers().size() < 2 ||
          duties_.Has("list/", kWatchersADomain))
        ReadInstanceList();
      if (!leaving_ &&
          duties_.Has(ColdLeaseName(settings_.domain), kStewardCandidates))
        AcquireColdLease();
      // One a domain: closing a bucket twice does no harm.
      if (duties_.Has("sweep/", 1))
        sweeper_->Sweep(services_.clock->CalendarNow(), Limit(kStoreCallLimit));
    } catch (const kv_unavailable& error) {
      LogUnavailable("duties", error);
    }
  }

  void ReadInstanceList() {
    for (const listed_instance& listed :
         services_.instance_list->List(Limit(kStoreCallLimit))) {
      if (!listed.leaving)
        cluster_->AddSeed(listed.peer_address);
    }
  }

  void AcquireColdLease() {
    const auto lease = services_.store->AcquireLease(
        ColdLeaseName(settings_.domain), settings_.instance.text(),
        kColdLeaseValidity, Limit(kStoreCallLimit));
    if (lease)
      cluster_->OnLease(*lease);
  }

  void LogUnavailable(const std::string& call, const kv_unavailable& error) {
    services_.logger->Write(
        log_level::debug, "platform_unavailable",
        {{"call", call}, {"reason", std::string(error.what())}});
  }

  // Load ---------------------------------------------------------------------

  void PollTargets(std::size_t part) {
    const auto targets = admission_.UsedTargets();
    for (std::size_t i = part; i < targets.size(); i += kPollThreads)
      PollTarget(targets[i]);
  }

  void PollTarget(const target_spec& target) {
    try {
      const auto report = PollLoad(*services_.http, *services_.clock, target);
      if (!report)
        return;
      cluster_->OnReport(target.id, *report);
      admission_.OnReport(target.id, *report);
    } catch (const http_error&) {
      // Its last report ages; the target is not used past its validity.
    }
  }

  const node_settings settings_;
  const node_services services_;
  const timestamp started_at_;
  const std::shared_ptr<i_configuration_holder> holder_;
  const std::shared_ptr<cluster_desk> cluster_;
  admission_desk admission_;
  limit_desk limits_;
  wist::plain_router plain_router_;
  store_follower follower_;
  const std::shared_ptr<i_peer_link> link_;
  const duty_ranking duties_;
  peer_exchange exchange_;
  const std::unique_ptr<i_claim_sweeper> sweeper_;
  std::unique_ptr<i_peer_server> server_;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> heard_peer_ = false;
  mutable std::mutex cut_mutex_;
  std::set<domain_id> cut_domains_;
  bool announced_ = false;
  std::vector<std::unique_ptr<periodic_thread>> threads_;
};

}  // namespace

std::unique_ptr<i_node> MakeNode(const node_settings& settings,
                                 const node_services& services) {
  return std::make_unique<node>(settings, services);
}

}  // namespace wist
