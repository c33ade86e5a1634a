#include <atomic>
#include <mutex>
#include <set>

#include "claims/claims_module.h"
#include "configuration/configuration_module.h"
#include "configuration/configuration_text.h"
#include "framework/base/periodic_thread.h"
#include "node/internal/blocking_admission.h"
#include "node/internal/claim_forwarder.h"
#include "node/internal/cluster_state.h"
#include "node/internal/configuration_watcher.h"
#include "node/internal/load_poller.h"
#include "node/internal/peer_exchange.h"
#include "node/internal/plain_router.h"
#include "node/internal/request_limits.h"
#include "node/internal/task_assigner.h"
#include "node/node_module.h"
#include "peer_link/peer_link_module.h"

namespace wist {
namespace {

constexpr milliseconds kGossipInterval{400};
constexpr milliseconds kExchangeInterval{1000};
constexpr milliseconds kTallyCheckInterval{50};
constexpr milliseconds kStoreWatchInterval{50};
constexpr milliseconds kPlatformTaskInterval{2000};
constexpr milliseconds kAdmissionQueueInterval{20};
constexpr milliseconds kPeerCallTimeout{400};
constexpr milliseconds kCrashNoticeTimeout{300};
constexpr milliseconds kForwardedClaimTimeout{500};
constexpr milliseconds kStoreCallTimeout{1000};
constexpr milliseconds kColdLeaseValidity{10'000};

// Time after which a new instance becomes ready even if no peer has responded.
constexpr milliseconds kPeerSyncTimeout{3000};

// Number of members of a failure domain that read from the platform's store.
constexpr std::size_t kStoreReadersPerDomain = 2;

// Number of threads that poll targets for their load. A target that does not
// respond only delays the other targets of its thread.
constexpr std::size_t kPollThreads = 4;

class node final : public i_node, private i_node_status {
 public:
  node(const node_settings& settings, const node_services& services)
      : settings_(settings),
        services_(services),
        started_at_(services.clock->Now()),
        holder_(MakeConfigurationHolder()),
        cluster_(std::make_shared<cluster_state>(settings, services.clock)),
        admission_(settings, services.clock, cluster_),
        limits_(services.clock),
        plain_router_(settings.domain, services.clock, cluster_),
        configuration_watcher_(services.store,
                               services.clock,
                               holder_,
                               cluster_,
                               services.logger),
        link_(MakePeerLink(services.clock, services.keys, settings.domain)),
        assigner_(settings, cluster_),
        exchange_(settings,
                  services.clock,
                  holder_,
                  cluster_,
                  link_,
                  admission_,
                  limits_,
                  assigner_),
        sweeper_(MakeClaimSweeper(services.store, {})) {
    for (const std::string& peer : settings.seed_peers)
      cluster_->AddSeed(peer);
    limits_.SubscribeToCrashes([this] { BroadcastCrashes(); });
    holder_->Subscribe(
        [this](const auto& document) { ApplyConfiguration(*document); });
    server_ = MakePeerServer(
        settings.peer_address, services.keys,
        [this](const call_envelope& call) { return HandlePeerCall(call); });
    services.claims->SetForwarder(
        std::make_shared<claim_forwarder>(settings.instance, cluster_, link_));
    StartThreads();
  }

  ~node() override {
    threads_.clear();
    server_.reset();
  }

  // i_node:
  i_blocking_admission& admission() override { return admission_; }
  i_request_limits& limits() override { return limits_; }
  i_plain_router& plain_router() override { return plain_router_; }
  i_node_status& status() override { return *this; }

  void SimulatePartition(const std::vector<domain_id>& domains) override {
    std::lock_guard lock(partition_mutex_);
    partitioned_domains_ = {domains.begin(), domains.end()};
  }

  void LeaveCluster() override {
    leaving_ = true;
    cluster_->SetLeaving();
    try {
      services_.instance_list->Withdraw(OwnListing(),
                                        DeadlineAfter(kStoreCallTimeout));
    } catch (const kv_unavailable& error) {
      LogUnavailable("withdraw", error);
    }
    if (cluster_->HoldsColdLease()) {
      services_.store->ReleaseLease({ColdLeaseName(settings_.domain),
                                     settings_.instance.text(), 0, timestamp()},
                                    DeadlineAfter(kStoreCallTimeout));
    }
  }

 private:
  // i_node_status:
  bool IsReady() const override {
    return !leaving_ && holder_->Current() && PeerSyncFinished() &&
           !cluster_->IsSuperseded();
  }
  std::shared_ptr<const configuration_document> Configuration() const override {
    return holder_->Current();
  }
  std::vector<member_record> LiveMembers() const override {
    return cluster_->LiveMembers();
  }
  bool StoreIsFresh() const override { return cluster_->StoreIsFresh(); }
  bool HoldsColdLease() const override { return cluster_->HoldsColdLease(); }
  std::uint64_t ControlBytes() const override {
    return link_->BytesTransferred() + server_->BytesTransferred();
  }

  // NOTE: The store may have been restored to an older configuration than the
  // peers have, so a new instance waits for a response from at least one peer
  // before it becomes ready.
  bool PeerSyncFinished() const {
    return peer_responded_ ||
           services_.clock->Now() >= started_at_ + kPeerSyncTimeout;
  }

  void StartThreads() {
    StartPeriodic(kGossipInterval, [this] { Gossip(); });
    StartPeriodic(kTallyCheckInterval,
                  [this] { exchange_.ExchangeTalliesIfDue(); });
    StartPeriodic(kExchangeInterval,
                  [this] { exchange_.ExchangeLimitDemand(); });
    StartPeriodic(kExchangeInterval,
                  [this] { exchange_.RequestColdPermits(); });
    StartPeriodic(kStoreWatchInterval, [this] { WatchConfiguration(); });
    StartPeriodic(kPlatformTaskInterval, [this] { RunPlatformTasks(); });
    StartPeriodic(kAdmissionQueueInterval,
                  [this] { admission_.ProcessQueue(); });
    for (std::size_t thread_index = 0; thread_index < kPollThreads;
         ++thread_index)
      StartPeriodic(settings_.poll_interval,
                    [this, thread_index] { PollTargets(thread_index); });
  }

  // Runs `step` repeatedly on a thread of its own, with `pause` between two
  // runs.
  void StartPeriodic(milliseconds pause, std::function<void()> step) {
    threads_.push_back(
        std::make_unique<periodic_thread>(pause, std::move(step)));
  }

  timestamp DeadlineAfter(milliseconds span) const {
    return services_.clock->Now() + span;
  }

  void ApplyConfiguration(const configuration_document& document) {
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

  void Gossip() {
    const auto peer = cluster_->NextPeer();
    if (!peer)
      return;
    const timestamp called_at = services_.clock->Now();
    try {
      gossip_message outgoing = cluster_->MakeGossip();
      limits_.AddReports(outgoing);
      const peer_response response = link_->Call(*peer, gossip_call{outgoing},
                                                 called_at + kPeerCallTimeout);
      const auto* received = std::get_if<gossip_response>(&response);
      if (!received)
        return;
      cluster_->OnGossipResponse(received->message, called_at);
      limits_.OnReports(received->message);
      FetchConfigurationIfNewer(*peer, received->message.configuration_version);
      peer_responded_ = true;
    } catch (const peer_error& error) {
      services_.logger->Write(
          log_level::debug, "peer_unreachable",
          {{"peer", *peer}, {"reason", std::string(error.what())}});
    }
  }

  // Sends a new crash record to all members of the failure domain at once. The
  // request that caused the crash waits for this, so that its caller cannot
  // resend it to an instance that does not know of the crash yet.
  void BroadcastCrashes() {
    gossip_message outgoing = cluster_->MakeGossip();
    limits_.AddReports(outgoing);
    for (const member_record& member :
         cluster_->LiveMembersInDomain(settings_.domain)) {
      if (member.id == settings_.instance)
        continue;
      try {
        const peer_response response =
            link_->Call(member.address, gossip_call{outgoing},
                        DeadlineAfter(kCrashNoticeTimeout));
        // The member may know that the prompt is sound.
        if (const auto* received = std::get_if<gossip_response>(&response))
          limits_.OnReports(received->message);
      } catch (const peer_error&) {
        // The member receives the crash record by regular gossip.
      }
    }
  }

  void FetchConfigurationIfNewer(const std::string& peer,
                                 std::int64_t version) {
    const auto current = holder_->Current();
    if (version <= (current ? current->version : 0))
      return;
    const peer_response response = link_->Call(peer, configuration_call{},
                                               DeadlineAfter(kPeerCallTimeout));
    const auto* text = std::get_if<configuration_response>(&response);
    if (!text || text->document.empty())
      return;
    try {
      holder_->UpdateIfNewer(DecodeDocument(text->document));
    } catch (const configuration_parse_error& error) {
      services_.logger->Write(log_level::error, "peer_configuration_unreadable",
                              {{"reason", std::string(error.what())}});
    }
  }

  peer_response HandlePeerCall(const call_envelope& envelope) {
    struct visitor {
      node& self;
      peer_response operator()(const gossip_call& call) const {
        self.cluster_->OnGossipCall(call.message);
        self.limits_.OnReports(call.message);
        gossip_message outgoing = self.cluster_->MakeGossip();
        self.limits_.AddReports(outgoing);
        return gossip_response{outgoing};
      }
      peer_response operator()(const configuration_call&) const {
        const auto current = self.holder_->Current();
        return configuration_response{current ? EncodeDocument(*current) : ""};
      }
      peer_response operator()(const tally_call& call) const {
        return tally_response{self.cluster_->OnTallyCall(call)};
      }
      peer_response operator()(const permit_call& call) const {
        return permit_response{self.cluster_->OnPermitCall(call)};
      }
      peer_response operator()(const claim_call& call) const {
        return claim_response{self.services_.claims->ApplyForwarded(
            call.operations, self.DeadlineAfter(kForwardedClaimTimeout))};
      }
    };
    if (IsPartitionedFrom(envelope.sender_domain))
      return refusal_response{};
    return std::visit(visitor{*this}, envelope.call);
  }

  bool IsPartitionedFrom(const domain_id& domain) const {
    std::lock_guard lock(partition_mutex_);
    return partitioned_domains_.contains(domain);
  }

  void WatchConfiguration() {
    const bool needed = !holder_->Current() || !cluster_->StoreIsFresh();
    if (!needed && !assigner_.IsAssigned("watch/", kStoreReadersPerDomain))
      return;
    try {
      configuration_watcher_.WatchOnce();
    } catch (const kv_unavailable& error) {
      LogUnavailable("watch", error);
      std::this_thread::sleep_for(kGossipInterval);
    }
  }

  listed_instance OwnListing() const {
    return {settings_.instance.text(), settings_.domain.text(),
            settings_.peer_address, leaving_};
  }

  void RunPlatformTasks() {
    try {
      if (!announced_ && !leaving_) {
        services_.instance_list->Announce(OwnListing(),
                                          DeadlineAfter(kStoreCallTimeout));
        announced_ = true;
      }
      if (cluster_->LiveMembers().size() < 2 ||
          assigner_.IsAssigned("list/", kStoreReadersPerDomain))
        ReadInstanceList();
      if (!leaving_ && assigner_.IsAssigned(ColdLeaseName(settings_.domain),
                                            kColdLeaseCandidates))
        AcquireColdLease();
      // One member per failure domain is enough. Several members may do it at
      // once, because closing a bucket is idempotent.
      if (assigner_.IsAssigned("sweep/", 1))
        sweeper_->Sweep(services_.clock->CalendarNow(),
                        DeadlineAfter(kStoreCallTimeout));
    } catch (const kv_unavailable& error) {
      LogUnavailable("duties", error);
    }
  }

  void ReadInstanceList() {
    for (const listed_instance& listed :
         services_.instance_list->List(DeadlineAfter(kStoreCallTimeout))) {
      if (!listed.leaving)
        cluster_->AddSeed(listed.peer_address);
    }
  }

  // The holder of the lease issues the permits for requests to the cold targets
  // of this failure domain.
  void AcquireColdLease() {
    const auto lease = services_.store->AcquireLease(
        ColdLeaseName(settings_.domain), settings_.instance.text(),
        kColdLeaseValidity, DeadlineAfter(kStoreCallTimeout));
    if (lease)
      cluster_->OnColdLease(*lease);
  }

  void LogUnavailable(const std::string& call, const kv_unavailable& error) {
    services_.logger->Write(
        log_level::debug, "platform_unavailable",
        {{"call", call}, {"reason", std::string(error.what())}});
  }

  void PollTargets(std::size_t thread_index) {
    const auto targets = admission_.UsedTargets();
    for (std::size_t i = thread_index; i < targets.size(); i += kPollThreads)
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
      // The target is not used any more once its last report has expired.
    }
  }

  const node_settings settings_;
  const node_services services_;
  const timestamp started_at_;
  const std::shared_ptr<i_configuration_holder> holder_;
  const std::shared_ptr<cluster_state> cluster_;
  blocking_admission admission_;
  request_limits limits_;
  wist::plain_router plain_router_;
  configuration_watcher configuration_watcher_;
  const std::shared_ptr<i_peer_link> link_;
  const task_assigner assigner_;
  peer_exchange exchange_;
  const std::unique_ptr<i_claim_sweeper> sweeper_;
  std::unique_ptr<i_peer_server> server_;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> peer_responded_ = false;
  mutable std::mutex partition_mutex_;
  std::set<domain_id> partitioned_domains_;
  bool announced_ = false;
  std::vector<std::unique_ptr<periodic_thread>> threads_;
};

}  // namespace

std::unique_ptr<i_node> MakeNode(const node_settings& settings,
                                 const node_services& services) {
  return std::make_unique<node>(settings, services);
}

}  // namespace wist
