#include "gateway/internal/crash_detector.h"

#include <fmt/format.h>

#include <utility>

namespace wist {
namespace {

// A running target accepts a connection within one round trip.
constexpr milliseconds kConnectTimeout{300};

// Maximum number of concurrent probes. If more targets fail at once, no single
// request is the cause.
constexpr std::size_t kMaxProbes = 16;

}  // namespace

crash_detector::crash_detector(i_connector& connector,
                               i_scheduler& scheduler,
                               crash_ledger& ledger,
                               i_logger& logger,
                               std::function<void()> on_crash)
    : connector_(connector),
      scheduler_(scheduler),
      ledger_(ledger),
      logger_(logger),
      on_crash_(std::move(on_crash)) {}

void crash_detector::OnRunBroken(request_digest digest,
                                 const target_entry& target) {
  const auto existing = probes_.find(target.id);
  if (existing != probes_.end()) {
    existing->second.digests.insert(digest);
    return;
  }
  if (probes_.size() >= kMaxProbes)
    return;
  const timestamp deadline = scheduler_.Now() + kConnectTimeout;
  probe& started = probes_[target.id];
  started.digests.insert(digest);
  started.channel =
      connector_.Connect(target.address, deadline,
                         {[](std::string_view) {},
                          [this, id = target.id](channel_end end) {
                            if (end == channel_end::connect_failed)
                              OnUnreachable(id);
                          }});
  // There is no callback for an established connection. If no failure has been
  // reported some time after the connect deadline, the target accepted it.
  started.timer =
      scheduler_.RunAt(deadline + kConnectTimeout, [this, id = target.id] {
        const auto finished = probes_.extract(id);
        if (!finished.empty())
          finished.mapped().channel->Abort();
      });
}

void crash_detector::OnUnreachable(const target_id& target) {
  const auto finished = probes_.extract(target);
  if (finished.empty())
    return;
  for (const request_digest digest : finished.mapped().digests) {
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
