#include "gateway/internal/gateway_services.h"

#include <algorithm>

namespace wist {
namespace {

// A notice that a target leaves is up to this share of the time old for which
// the target may still be used.
constexpr int kNoticeAgeDivisor = 2;

constexpr std::size_t kCallerMemoryDivisor = 2;

// The kernel's receive buffers may take the memory limit divided by this
// number. A connection with less than the minimum could not make use of its
// link; one with more than the maximum would gain nothing, since bytes are read
// as they arrive.
constexpr std::size_t kReceiveMemoryDivisor = 4;
constexpr std::size_t kMinReceiveBufferBytes = 16'384;
constexpr std::size_t kMaxReceiveBufferBytes = 65'536;

}  // namespace

std::size_t CallerMemoryBytes(const gateway_settings& settings) {
  return settings.caller_memory_bytes > 0
             ? settings.caller_memory_bytes
             : settings.memory_limit_bytes / kCallerMemoryDivisor;
}

int ReceiveBufferBytes(const gateway_settings& settings) {
  const std::size_t share = settings.memory_limit_bytes /
                            kReceiveMemoryDivisor /
                            std::max<std::size_t>(settings.max_connections, 1);
  return static_cast<int>(
      std::clamp(share, kMinReceiveBufferBytes, kMaxReceiveBufferBytes));
}

void gateway_services::OnTargetSignals(const target_entry& target,
                                       const target_signals& signals,
                                       const std::string& request_id) {
  const timestamp now = scheduler.Now();
  if (signals.pause) {
    logger.Write(log_level::info, "target_pauses",
                 {{"target", target.id.text()},
                  {"request_id", request_id},
                  {"pause_ms", ToMilliseconds(*signals.pause)}});
    selector.OnPauseRequested(target.id, now + *signals.pause);
  }
  OnBrittleSignals(target, signals, request_id);
  const known_target* known = directory.Find(target.id);
  if (!signals.is_leaving || !known || known->stated_leaving)
    return;
  logger.Write(log_level::info, "target_states_leaving",
               {{"target", target.id.text()}, {"request_id", request_id}});
  directory.OnLeavingStated(target, now);
}

// A pause holds for the instance that sent the request to the target only.
void gateway_services::OnRelayedSignals(const target_id& target,
                                        const target_signals& signals,
                                        const std::string& request_id) {
  const known_target* known = directory.Find(target);
  if (!known)
    return;
  target_signals shared;
  shared.is_leaving = signals.is_leaving;
  shared.tolerated_refusals = signals.tolerated_refusals;
  OnTargetSignals(known->entry, shared, request_id);
}

void gateway_services::OnTargetUnreachable(const target_entry& target,
                                           timestamp started_at) {
  const auto& targets = directory.targets();
  const auto target_count = static_cast<std::size_t>(
      std::count_if(targets.begin(), targets.end(), [&](const auto& known) {
        return directory.AcceptsNewWork(known.second);
      }));
  if (!paths.OnUnreachable(target.id, started_at, scheduler.Now(),
                           target_count))
    return;
  std::string unreachable;
  for (const target_id& id : paths.UnreachableTargets())
    unreachable += (unreachable.empty() ? "" : ",") + id.text();
  logger.Write(log_level::warning, "target_paths_lost",
               {{"unreachable", unreachable},
                {"targets", static_cast<std::int64_t>(target_count)}});
  // A request on a connection whose path is gone would wait for its deadline.
  for (const auto& [id, known] : targets)
    caller.CloseIdleChannels(known.entry.address);
}

void gateway_services::OnTargetConnected(timestamp started_at) {
  if (paths.OnConnected(started_at))
    logger.Write(log_level::info, "target_paths_restored", {});
}

void gateway_services::OnBrittleSignals(const target_entry& target,
                                        const target_signals& signals,
                                        const std::string& request_id) {
  const timestamp now = scheduler.Now();
  if (signals.has_invalid_tolerance)
    on_invalid_response({{target.id.text(), request_id}, "tolerated_refusals"});
  if (signals.tolerated_refusals &&
      selector.OnBrittleStated(target, *signals.tolerated_refusals, now)) {
    logger.Write(log_level::info, "targets_brittle",
                 {{"target", target.id.text()},
                  {"request_id", request_id},
                  {"service", target.service.text()},
                  {"tolerated_refusals",
                   static_cast<std::int64_t>(*signals.tolerated_refusals)}});
  }
  if (!signals.is_full)
    return;
  selector.OnRefusedForRoom(target, now);
  if (selector.IsBrittle(target.service, now))
    metrics.OnBrittleRefusal();
}

std::vector<version_constraint> gateway_services::VersionConstraints(
    const service_id& service,
    const std::string& request_id,
    bool avoids_new) const {
  if (!versions)
    return {{}};
  return versions->ConstraintsFor(service, request_id, avoids_new);
}

selection gateway_services::Choose(
    selection_request request,
    const std::vector<version_constraint>& constraints,
    const target_id* from) {
  const timestamp now = scheduler.Now();
  std::optional<selection_error> first_error;
  for (const version_constraint& constraint : constraints) {
    request.versions = constraint;
    const selection chosen = from ? selector.ChooseReceiver(*from, request, now)
                                  : selector.Choose(request, now);
    const auto* error = std::get_if<selection_error>(&chosen);
    if (!error)
      return chosen;
    if (!first_error || error->targets_at_capacity)
      first_error = *error;
  }
  return *first_error;
}

bool gateway_services::AcceptsRun(const target_id& target) const {
  const known_target* known = directory.Find(target);
  return known && directory.AcceptsNewWork(*known) &&
         !selector.PausedUntil(target, scheduler.Now());
}

bool gateway_services::AcceptsReturn(const target_id& target) const {
  const known_target* known = directory.Find(target);
  if (!known || directory.IsEvacuated(known->entry.domain) ||
      selector.PausedUntil(target, scheduler.Now()))
    return false;
  return !known->leaving ||
         scheduler.Now() < known->leaving_since +
                               settings.leaving_target_use / kNoticeAgeDivisor;
}

}  // namespace wist
