#include "gateway/internal/rollout_controller.h"

#include <algorithm>
#include <utility>

#include "framework/base/hashing.h"
#include "gateway/internal/request_routing.h"
#include "rollout/exposure.h"

namespace wist {
namespace {

// Interval of the checks while a roll-out is active, and otherwise.
constexpr milliseconds kActiveInterval{100};
constexpr milliseconds kIdleInterval{250};

// Changes that arrive together, as a snapshot, are taken in together.
constexpr milliseconds kChangeDelay{1};

// Interval at which runs are requested again to leave the old version: their
// last move may have failed.
constexpr milliseconds kMoveInterval{500};

// Makes the choice of a version independent of other values hashed from the
// request id.
constexpr std::uint64_t kVersionSeed = 4;

std::uint32_t NameDigest(const std::string& text) {
  const auto digest = static_cast<std::uint32_t>(StableHash(text));
  return digest == 0 ? 1 : digest;
}

rollout_settings SettingsOf(const gateway_settings& settings) {
  rollout_settings rollout;
  rollout.canary_share = settings.canary_share;
  rollout.canary_slack = settings.canary_slack;
  return rollout;
}

log_fields SampleFields(const stratum_counts& samples) {
  const auto number = [](std::uint32_t count) {
    return static_cast<std::int64_t>(count);
  };
  return {{"old_responses", number(samples.old_version.responses)},
          {"old_bad", number(samples.old_version.bad)},
          {"new_responses", number(samples.new_version.responses)},
          {"new_bad", number(samples.new_version.bad)}};
}

}  // namespace

rollout_controller::rollout_controller(gateway_services& services,
                                       i_async_store& store,
                                       std::shared_ptr<const i_clock> clock,
                                       rollout_environment environment)
    : services_(services),
      store_(store),
      clock_(std::move(clock)),
      environment_(std::move(environment)),
      tracker_(SettingsOf(services.settings)),
      open_runs_(std::make_shared<open_run_counts>()) {}

rollout_controller::~rollout_controller() = default;

void rollout_controller::Start() {
  ScheduleCheck(services_.scheduler.Now());
}

rollout_time rollout_controller::Now() const {
  return {services_.scheduler.Now(), clock_->CalendarNow()};
}

void rollout_controller::OnStoreChange(const store_change& change) {
  const i_dialect& dialect = services_.dialect;
  if (const auto service = dialect.RolloutRequestService(change.key)) {
    if (change.value)
      tracker_.OnRequest(*service, dialect.DecodeRolloutRequest(*change.value),
                         change.revision.number, Now());
    else
      tracker_.OnRequestRemoved(*service);
  } else if (const auto owner = dialect.RolloutStatusService(change.key)) {
    const auto status = change.value
                            ? dialect.DecodeRolloutStatus(*change.value)
                            : std::nullopt;
    if (status)
      tracker_.OnStatus(*owner, *status, change.revision.number);
    else
      tracker_.OnStatusMissing(*owner,
                               change.value ? change.revision.number : 0);
  }
  ScheduleCheck(services_.scheduler.Now() + kChangeDelay);
}

void rollout_controller::ScheduleCheck(timestamp due) {
  if (check_timer_ && check_due_ <= due)
    return;
  check_due_ = due;
  check_timer_ = services_.scheduler.RunAt(due, [this] { Check(); });
}

void rollout_controller::Check() {
  const rollout_time time = Now();
  // Scheduled first, so that an exception does not end the checks.
  check_timer_.reset();
  ScheduleCheck(time.now + (tracker_.ActiveRollouts().empty()
                                ? kIdleInterval
                                : kActiveInterval));
  SetInputs(time.now);
  for (const service_event& event : tracker_.Advance(time))
    Log(event);
  WriteStatuses(time);
  if (time.now < move_due_)
    return;
  for (const auto& [service, versions] : *open_runs_) {
    if (tracker_.ViewOf(service).move != runs_to_move::on_old)
      continue;
    move_due_ = time.now + kMoveInterval;
    environment_.on_runs_to_move();
    break;
  }
}

void rollout_controller::SetInputs(timestamp now) {
  if (const auto table = services_.latest_configuration.table()) {
    std::set<service_id> names;
    for (const routed_service& service : table->configuration().services)
      names.insert(service.id);
    tracker_.SetServices(std::move(names));
  }
  std::vector<rollout_target> targets;
  for (const auto& [id, target] : services_.directory.targets()) {
    // Targets that left are kept for a while.
    if (!target.leaving) {
      targets.push_back({id, target.entry.service, target.entry.version,
                         target.entry.domain, target.entry.started_at,
                         services_.directory.AcceptsNewWork(target),
                         services_.directory.IsEvacuated(target.entry.domain)});
    }
  }
  tracker_.SetTargets(std::move(targets));
  tracker_.SetStoreReachable(environment_.is_store_reachable());
  std::vector<rollout_id> active = tracker_.ActiveRollouts();
  if (active.empty())
    return;
  const std::size_t other_count = environment_.other_instance_count();
  std::map<rollout_id, rollout_sums> others;
  for (rollout_sums& sums : environment_.others_sums())
    others[sums.id] = std::move(sums);
  for (const rollout_id& id : active) {
    tracker_.SetOpenRuns(id.service, (*open_runs_)[id.service]);
    const rollout_sums& sums = others[id];
    fleet_report report;
    report.samples = sums.samples;
    report.found_bad = sums.found_bad;
    report.as_of = now - sums.age;
    // An instance that is counted twice while the tree changes must not hide
    // one that is missing.
    if (sums.instances == other_count)
      report.unfinished = sums.unfinished;
    tracker_.SetFleetReport(id, std::move(report));
  }
}

std::vector<rollout_sums> rollout_controller::OwnSums() const {
  std::vector<rollout_sums> own;
  for (const rollout_id& id : tracker_.ActiveRollouts()) {
    const rollout_view& view = tracker_.ViewOf(id.service);
    rollout_sums sums;
    sums.id = id;
    if (const version_samples* samples = tracker_.OwnSamples(id.service))
      sums.samples = *samples;
    sums.unfinished = view.unfinished_here;
    sums.instances = 1;
    sums.found_bad = view.bad.has_value();
    own.push_back(std::move(sums));
  }
  return own;
}

void rollout_controller::WriteStatuses(const rollout_time& time) {
  if (!environment_.is_decider())
    return;
  for (const status_write& write : tracker_.TakeWrites(time)) {
    if (MayWrite(write.service, time.now))
      Write(write);
  }
}

// A write without a response may be executed still. The next one depends on
// what the store held afterwards.
bool rollout_controller::MayWrite(const service_id& service, timestamp now) {
  write_state& state = writes_[service];
  if (state.is_pending)
    return false;
  if (!state.unknown_since)
    return true;
  const auto age = services_.latest_configuration.ConfirmationAge(now);
  if (!age || now - *age <= *state.unknown_since)
    return false;
  state.unknown_since.reset();
  return true;
}

void rollout_controller::Write(const status_write& write) {
  const i_dialect& dialect = services_.dialect;
  const std::string key = dialect.RolloutStatusKey(write.service);
  writes_[write.service].is_pending = true;
  environment_.on_store_call("rollout");
  store_.PutDurably(
      {{key, write.status_revision},
       {dialect.RolloutRequestKey(write.service), write.request_revision}},
      key, dialect.EncodeRolloutStatus(write.status),
      [this, write](put_result result) {
        write_state& state = writes_[write.service];
        state.is_pending = false;
        if (result == put_result::unknown)
          state.unknown_since = services_.scheduler.Now();
        const char* outcome = result == put_result::written   ? "written"
                              : result == put_result::changed ? "changed"
                                                              : "unknown";
        services_.logger.Write(
            log_level::info, "rollout_status_written",
            {{"service", write.service.text()},
             {"outcome", std::string(outcome)},
             {"state", std::string(ToString(write.status.state))},
             {"phase", std::string(ToString(write.status.stage))},
             {"target_version", write.status.target},
             {"share", write.status.share},
             {"request_revision", write.request_revision},
             {"reason", write.status.reason}});
      });
}

void rollout_controller::Log(const service_event& event) {
  struct event_visitor {
    i_logger& logger;
    std::int64_t revision = 0;

    void Write(log_level level,
               const char* name,
               const service_id& service,
               log_fields fields) const {
      fields.insert(fields.begin(), {{"service", service.text()},
                                     {"request_revision", revision}});
      logger.Write(level, name, fields);
    }
    void operator()(const request_accepted& accepted) const {
      Write(log_level::info, "rollout_order", accepted.request.service,
            {{"outcome", std::string("accepted")},
             {"target_version", accepted.request.target},
             {"duration_s", accepted.request.duration_s}});
    }
    void operator()(const request_rejected& rejected) const {
      Write(log_level::warning, "rollout_order", rejected.service,
            {{"outcome", std::string("rejected")},
             {"reason", std::string(ToString(rejected.reason.error))},
             {"item", rejected.reason.item},
             {"value", rejected.reason.value},
             {"bound", rejected.reason.bound}});
    }
    void operator()(const request_ended& ended) const {
      Write(
          log_level::info, "rollout_order", ended.service,
          {{"outcome", std::string(ended.replaced ? "replaced" : "removed")}});
    }
    void operator()(const phase_changed& changed) const {
      Write(log_level::info, "rollout_phase", changed.service,
            {{"phase", std::string(ToString(changed.rule.phase))},
             {"target_version", changed.rule.target},
             {"share", changed.rule.share}});
    }
    void operator()(const verdict_reached& reached) const {
      log_fields fields = SampleFields(reached.samples);
      fields.insert(
          fields.begin(),
          {{"verdict", std::string("bad")},
           {"reason", std::string(ToString(reached.verdict.reason))},
           {"route_digest", static_cast<std::int64_t>(reached.verdict.route)}});
      Write(log_level::warning, "rollout_verdict", reached.service,
            std::move(fields));
    }
  };
  std::visit(event_visitor{services_.logger, event.request_revision},
             event.event);
}

void rollout_controller::UpdateMetrics() {
  services_.metrics.ClearRollouts();
  for (const rollout_id& id : tracker_.ActiveRollouts()) {
    const rollout_view& view = tracker_.ViewOf(id.service);
    rollout_metrics shown;
    shown.service = id.service.text();
    shown.target = view.rule.target;
    shown.phase = ToString(view.rule.phase);
    shown.reason = view.bad ? ToString(view.bad->reason) : "";
    shown.share = view.rule.share;
    version_samples samples;
    if (const version_samples* own = tracker_.OwnSamples(id.service))
      samples = *own;
    for (const rollout_sums& sums : environment_.others_sums()) {
      if (sums.id == id)
        samples.Merge(sums.samples);
    }
    shown.samples = samples.Total();
    services_.metrics.AddRollout(shown);
  }
}

std::vector<version_constraint> rollout_controller::ConstraintsFor(
    const service_id& service,
    const std::string& request_id,
    bool avoids_new) const {
  const version_rule& rule = tracker_.ViewOf(service).rule;
  const version_constraint permitted{std::nullopt, rule.withheld};
  version_constraint old_only = permitted;
  old_only.forbidden.insert(rule.target);
  switch (ChooseVersion(rule, HashToUnitInterval(request_id, kVersionSeed))) {
    case version_choice::any:
      return {permitted};
    case version_choice::prefer_new:
      if (avoids_new)
        return {old_only};
      return {{rule.target, {}}, old_only};
    case version_choice::only_new:
      return {{rule.target, {}}};
    case version_choice::only_old:
      break;
  }
  return {old_only};
}

bool rollout_controller::IsBeingLeft(const target_entry& target) const {
  const rollout_view& view = tracker_.ViewOf(target.service);
  return view.move == runs_to_move::on_old &&
         target.version != view.rule.target;
}

void rollout_controller::OnResponse(const route_spec& route,
                                    const target_entry& target,
                                    const response_sample& sample) {
  const std::string& name = route.name.empty() ? route.path_prefix : route.name;
  tracker_.OnResponse(target.service,
                      {NameDigest(name), NameDigest(target.domain.text())},
                      target.version, sample);
}

std::shared_ptr<void> rollout_controller::BeginRun(const target_entry& target) {
  ++(*open_runs_)[target.service][target.version];
  return {nullptr, [counts = open_runs_, service = target.service,
                    version = target.version](void*) {
            const auto held = counts->find(service);
            if (--held->second[version] == 0)
              held->second.erase(version);
            if (held->second.empty())
              counts->erase(held);
          }};
}

}  // namespace wist
