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

crash_detector::crash_detector(
    i_connector& connector,
    i_scheduler& scheduler,
    crash_ledger& ledger,
    i_logger& logger,
    std::function<void(const run_fingerprint&)> on_crash)
    : connector_(connector),
      scheduler_(scheduler),
      ledger_(ledger),
      logger_(logger),
      on_crash_(std::move(on_crash)) {}

void crash_detector::OnRunBroken(const run_fingerprint& run,
                                 std::int64_t event_count,
                                 const target_entry& target) {
  const auto existing = probes_.find(target.id);
  if (existing != probes_.end()) {
    existing->second.runs.insert({run, event_count});
    return;
  }
  if (probes_.size() >= kMaxProbes)
    return;
  const timestamp deadline = scheduler_.Now() + kConnectTimeout;
  probe& started = probes_[target.id];
  started.runs.insert({run, event_count});
  started.connect_deadline = deadline;
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
  // A target whose machine does not respond was probably lost with it, and
  // prompts have nothing to do with that. Many requests share a part, so that
  // it would be suspected each time.
  const bool is_silent = scheduler_.Now() >= finished.mapped().connect_deadline;
  for (broken_run run : finished.mapped().runs) {
    if (is_silent)
      run.fingerprint.prompt_parts.clear();
    RecordCrash(target, run);
  }
}

void crash_detector::RecordCrash(const target_id& target,
                                 const broken_run& run) {
  const timestamp now = scheduler_.Now();
  ledger_.OnCrash(run.fingerprint, target, now);
  std::string parts;
  for (const prompt_part_digest part : run.fingerprint.prompt_parts)
    parts += fmt::format("{}{:016x}", parts.empty() ? "" : ",", part);
  logger_.Write(
      log_level::warning, "target_crashed",
      {{"target", target.text()},
       {"request_digest", fmt::format("{:016x}", run.fingerprint.request)},
       {"prompt_parts", parts},
       {"events", run.event_count},
       {"quarantined",
        ledger_.FindQuarantine(run.fingerprint, now).has_value()}});
  on_crash_(run.fingerprint);
}

}  // namespace wist
