#include "gateway/internal/crash_watch.h"

#include <fmt/format.h>

#include <utility>

namespace wist {
namespace {

// A target that runs accepts a channel within a round trip.
constexpr milliseconds kConnectLimit{300};

// Targets that are looked at together: more ended at once than one request can
// end.
constexpr std::size_t kMaxProbes = 16;

}  // namespace

crash_watch::crash_watch(i_connector& connector,
                         i_scheduler& scheduler,
                         crash_ledger& ledger,
                         i_logger& logger,
                         std::function<void()> on_crash)
    : connector_(connector),
      scheduler_(scheduler),
      ledger_(ledger),
      logger_(logger),
      on_crash_(std::move(on_crash)) {}

void crash_watch::OnRunBroken(request_digest digest,
                              const target_entry& target) {
  const auto running = probes_.find(target.id);
  if (running != probes_.end()) {
    running->second.digests.insert(digest);
    return;
  }
  if (probes_.size() >= kMaxProbes)
    return;
  const timestamp deadline = scheduler_.Now() + kConnectLimit;
  probe& begun = probes_[target.id];
  begun.digests.insert(digest);
  begun.channel = connector_.Connect(target.address, deadline,
                                     {[](std::string_view) {},
                                      [this, id = target.id](channel_end end) {
                                        if (end == channel_end::connect_failed)
                                          OnUnreachable(id);
                                      }});
  // The channel tells nothing of its opening, so silence until after the limit
  // of the connection means that the target accepted it.
  begun.timer =
      scheduler_.RunAt(deadline + kConnectLimit, [this, id = target.id] {
        const auto ended = probes_.extract(id);
        if (!ended.empty())
          ended.mapped().channel->Abort();
      });
}

void crash_watch::OnUnreachable(const target_id& target) {
  const auto ended = probes_.extract(target);
  if (ended.empty())
    return;
  for (const request_digest digest : ended.mapped().digests) {
    ledger_.OnCrash(digest, target, scheduler_.Now());
    logger_.Write(
        log_level::warning, "target_crashed",
        {{"target", target.text()},
         {"request_digest", fmt::format("{:016x}", digest)},
         {"quarantined",
          ledger_.QuarantinedUntil(digest, scheduler_.Now()).has_value()}});
  }
  on_crash_();
}

}  // namespace wist
