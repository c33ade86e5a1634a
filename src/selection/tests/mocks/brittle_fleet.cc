#include "selection/tests/mocks/brittle_fleet.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

const service_id kService{"desk"};
constexpr microseconds kNetworkDelay{500};
constexpr milliseconds kRestartTime{3000};
// As in the exchange of the gateway.
constexpr milliseconds kCapacityWait{25};
constexpr milliseconds kCapacityPollInterval{20};
constexpr int kMaxSends = 4;
// Callers retry on another instance.
constexpr int kMaxRetries = 3;
constexpr microseconds kRetryAfter{50'000};

}  // namespace

brittle_fleet::brittle_fleet(const brittle_fleet_settings& settings)
    : settings_(settings), random_(settings.seed) {
  routing_configuration configuration;
  configuration.version = 1;
  routed_service service;
  service.id = kService;
  configuration.services = {service};
  const auto table = std::make_shared<const route_table>(configuration);
  targets_.resize(static_cast<std::size_t>(settings_.targets));
  for (int i = 0; i < settings_.targets; ++i)
    RegisterTarget(i);
  for (int i = 0; i < settings_.instances; ++i) {
    selectors_.push_back(std::make_unique<target_selector>(
        selection_settings{domain_id("here")}, directory_,
        settings_.seed * 1000 + static_cast<std::uint32_t>(i)));
    selectors_.back()->ApplyConfiguration(table);
    selectors_.back()->SetPosition(
        {static_cast<std::size_t>(settings_.instances),
         static_cast<std::size_t>(i)});
  }
  delivered_.resize(selectors_.size());
}

brittle_fleet_result brittle_fleet::Run() {
  ScheduleArrival();
  ExchangeLoads();
  while (!events_.empty() &&
         events_.begin()->first.first < timestamp(settings_.end)) {
    now_ = events_.begin()->first.first;
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  const double capacity =
      settings_.targets * settings_.slots *
      ToMilliseconds(settings_.sound_at - settings_.restricted_at) /
      ToMilliseconds(settings_.run_time);
  result_.used_capacity = result_.served / capacity;
  return result_;
}

void brittle_fleet::At(timestamp time, std::function<void()> event) {
  events_[{time, next_event_++}] = std::move(event);
}

microseconds brittle_fleet::RandomTime(double mean_us) {
  return microseconds(
      static_cast<std::int64_t>(-mean_us * std::log(1 - Random())));
}

bool brittle_fleet::IsStated() const {
  return now_ >= timestamp(settings_.stated_at) &&
         now_ < timestamp(settings_.sound_at);
}

bool brittle_fleet::IsRestricted() const {
  return now_ >= timestamp(settings_.restricted_at) &&
         now_ < timestamp(settings_.sound_at);
}

void brittle_fleet::RegisterTarget(int index) {
  target& registered = targets_[static_cast<std::size_t>(index)];
  registered.id = target_id("t" + std::to_string(index) + "-" +
                            std::to_string(registered.starts));
  index_of_[registered.id] = index;
  target_entry entry;
  entry.id = registered.id;
  entry.service = kService;
  entry.domain = domain_id("here");
  entry.slots = settings_.slots;
  entry.sequence = 1;
  directory_.Upsert(entry, now_);
}

void brittle_fleet::ScheduleArrival() {
  const double per_us =
      settings_.demand * settings_.targets * settings_.slots /
      static_cast<double>(microseconds(settings_.run_time).count());
  At(now_ + RandomTime(1 / per_us), [this] {
    ScheduleArrival();
    if (IsRestricted())
      ++result_.requests;
    const int instance = static_cast<int>(Random() * settings_.instances);
    Choose({instance, now_, {}, 0, 0});
  });
}

selection_request brittle_fleet::SelectionRequest(const request& asked) const {
  selection_request selected;
  selected.service = kService;
  selected.excluded = asked.excluded;
  return selected;
}

void brittle_fleet::Choose(request asked) {
  const selection chosen =
      selectors_[static_cast<std::size_t>(asked.instance)]->Choose(
          SelectionRequest(asked), now_);
  if (const auto* id = std::get_if<target_id>(&chosen))
    return Send(std::move(asked), *id);
  const auto& error = std::get<selection_error>(chosen);
  if (!error.targets_at_capacity || asked.sends > 0 ||
      now_ + kCapacityPollInterval >= asked.arrived_at + kCapacityWait)
    return Refuse(asked);
  At(now_ + kCapacityPollInterval,
     [this, asked = std::move(asked)] { Choose(asked); });
}

void brittle_fleet::Refuse(const request& asked) {
  if (IsRestricted())
    result_.longest_refusal_ms = std::max(
        result_.longest_refusal_ms, ToMilliseconds(now_ - asked.arrived_at));
  if (asked.retries >= kMaxRetries)
    return;
  const double retry_after_us =
      static_cast<double>(kRetryAfter.count()) * (1 + Random() / 2);
  At(now_ + microseconds(static_cast<std::int64_t>(retry_after_us)),
     [this, retries = asked.retries + 1] {
       const int instance = static_cast<int>(Random() * settings_.instances);
       Choose({instance, now_, {}, 0, retries});
     });
}

void brittle_fleet::Send(request asked, const target_id& id) {
  ++asked.sends;
  target_selector& selector =
      *selectors_[static_cast<std::size_t>(asked.instance)];
  const run_number number =
      selector.BeginRun(id, SelectionRequest(asked), now_);
  asked.excluded.insert(id);
  const int index = index_of_.at(id);
  const run sent{std::move(asked), number};
  At(now_ + kNetworkDelay, [this, index, sent, id] {
    target& reached = targets_[static_cast<std::size_t>(index)];
    if (!reached.is_down && reached.id == id)
      return Arrive(index, sent);
    At(now_ + kNetworkDelay, [this, sent] {
      selectors_[static_cast<std::size_t>(sent.of.instance)]->EndRun(
          sent.number, run_end::unreachable, now_);
      if (sent.of.sends < kMaxSends)
        Choose(sent.of);
    });
  });
}

void brittle_fleet::Arrive(int index, const run& arrived) {
  target& reached = targets_[static_cast<std::size_t>(index)];
  const int waiting =
      IsRestricted() ? settings_.restricted_waiting : settings_.waiting;
  if (static_cast<int>(reached.running.size()) < settings_.slots)
    return Begin(index, arrived);
  if (static_cast<int>(reached.waiting.size()) < waiting)
    return reached.waiting.push_back(arrived);
  RefuseAtTarget(index, arrived);
}

void brittle_fleet::Begin(int index, const run& begun) {
  targets_[static_cast<std::size_t>(index)].running.push_back(begun);
  const double mean_us =
      static_cast<double>(microseconds(settings_.run_time).count());
  At(now_ + RandomTime(mean_us),
     [this, index, number = begun.number, instance = begun.of.instance] {
       Complete(index, number, instance);
     });
}

void brittle_fleet::Complete(int index, run_number number, int instance) {
  target& done = targets_[static_cast<std::size_t>(index)];
  const auto found = std::find_if(
      done.running.begin(), done.running.end(), [&](const run& candidate) {
        return candidate.number == number && candidate.of.instance == instance;
      });
  if (found == done.running.end())
    return;  // The target has fallen.
  done.running.erase(found);
  if (IsRestricted())
    ++result_.served;
  At(now_ + kNetworkDelay, [this, index, number, instance] {
    ApplyStatement(instance, index);
    selectors_[static_cast<std::size_t>(instance)]->EndRun(
        number, run_end::completed, now_);
  });
  if (done.waiting.empty())
    return;
  const run next = done.waiting.front();
  done.waiting.pop_front();
  Begin(index, next);
}

void brittle_fleet::RefuseAtTarget(int index, const run& refused) {
  target& full = targets_[static_cast<std::size_t>(index)];
  while (!full.refusals.empty() && now_ >= full.refusals.front() + seconds(1))
    full.refusals.pop_front();
  full.refusals.push_back(now_);
  if (IsRestricted()) {
    ++result_.refused_by_targets;
    result_.most_refusals_in_a_second =
        std::max(result_.most_refusals_in_a_second,
                 static_cast<int>(full.refusals.size()));
    if (static_cast<int>(full.refusals.size()) > settings_.tolerated_refusals)
      Fall(index);
  }
  At(now_ + kNetworkDelay, [this, index, refused, id = full.id] {
    target_selector& selector =
        *selectors_[static_cast<std::size_t>(refused.of.instance)];
    ApplyStatement(refused.of.instance, index);
    const known_target* known = directory_.Find(id);
    if (settings_.applies_statements && known)
      selector.OnRefusedForRoom(known->entry, now_);
    selector.EndRun(refused.number, run_end::rejected, now_);
    if (refused.of.sends < kMaxSends)
      Choose(refused.of);
    else
      Refuse(refused.of);
  });
}

void brittle_fleet::Fall(int index) {
  target& fallen = targets_[static_cast<std::size_t>(index)];
  if (fallen.is_down)
    return;
  ++result_.falls;
  fallen.is_down = true;
  fallen.refusals.clear();
  std::vector<run> lost = std::move(fallen.running);
  lost.insert(lost.end(), fallen.waiting.begin(), fallen.waiting.end());
  fallen.running.clear();
  fallen.waiting.clear();
  for (const run& ended : lost) {
    At(now_ + kNetworkDelay, [this, ended] {
      selectors_[static_cast<std::size_t>(ended.of.instance)]->EndRun(
          ended.number, run_end::broken, now_);
    });
  }
  At(now_ + kRestartTime, [this, index] {
    target& back = targets_[static_cast<std::size_t>(index)];
    directory_.Remove(back.id, std::nullopt, now_);
    ++back.starts;
    back.is_down = false;
    RegisterTarget(index);
  });
}

void brittle_fleet::ApplyStatement(int instance, int index) {
  const target& stating = targets_[static_cast<std::size_t>(index)];
  const known_target* known = directory_.Find(stating.id);
  if (settings_.applies_statements && IsStated() && known &&
      Random() < settings_.stating_share)
    selectors_[static_cast<std::size_t>(instance)]->OnBrittleStated(
        known->entry, settings_.tolerated_refusals, now_);
}

void brittle_fleet::ExchangeLoads() {
  At(now_ + settings_.report_interval, [this] { ExchangeLoads(); });
  load_sample sample{now_, {}, {}};
  for (const auto& selector : selectors_) {
    sample.own.push_back(selector->OwnLoads(now_));
    for (const target_load& load : sample.own.back()) {
      target_load& sum = sample.total[load.target];
      sum.target = load.target;
      sum.runs += load.runs;
      sum.failing_instances += load.failing_instances;
      sum.recent_refusals += load.recent_refusals;
      sum.brittle_instances += load.brittle_instances;
    }
  }
  samples_.push_back(std::move(sample));
  while (samples_.size() > 1 &&
         samples_[1].taken_at + settings_.report_age <= now_)
    samples_.pop_front();
  if (samples_.front().taken_at + settings_.report_age > now_ ||
      (settings_.loses_reports && IsRestricted()))
    return;
  for (int i = 0; i < settings_.instances; ++i)
    Deliver(samples_.front(), i);
}

void brittle_fleet::Deliver(const load_sample& sample, int instance) {
  const auto index = static_cast<std::size_t>(instance);
  std::map<target_id, target_load> others = sample.total;
  for (const target_load& own : sample.own[index]) {
    target_load& sum = others[own.target];
    sum.runs -= own.runs;
    sum.failing_instances -= own.failing_instances;
    sum.recent_refusals -= own.recent_refusals;
    sum.brittle_instances -= own.brittle_instances;
  }
  std::map<target_id, target_load>& former = delivered_[index];
  for (const auto& [id, load] : former) {
    if (!others.contains(id))
      selectors_[index]->SetOthersLoad({id}, now_);
  }
  for (const auto& [id, load] : others) {
    const auto found = former.find(id);
    if (found == former.end() || found->second != load)
      selectors_[index]->SetOthersLoad(load, now_);
  }
  former = std::move(others);
}

}  // namespace wist
