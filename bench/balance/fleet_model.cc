#include "fleet_model.h"

#include <fmt/format.h>

#include <chrono>
#include <cmath>

namespace wist::bench {
namespace {

constexpr std::int64_t kSampleIntervalUs = 10'000;
constexpr std::int64_t kRefreshIntervalUs = 1'000'000;
constexpr std::int64_t kRetryDelayUs = 250'000;
constexpr int kMaxRetries = 8;
constexpr int kMaxConnects = 4;
constexpr int kShortOutput = 10;
constexpr int kLongOutput = 750;
constexpr double kSigma = 1.2;
constexpr int kMaxOutputRatio = 5;
// The first part is not measured: the fleet starts empty.
constexpr double kWarmUpShare = 0.25;

timestamp At(std::int64_t us) {
  return timestamp(microseconds(us) + std::chrono::seconds(1));
}

struct instance_model {
  std::unique_ptr<target_selector> selector;
  int domain = 0;
  // Sums reported last, by engine.
  std::vector<target_load> reported;
  std::int64_t refresh_due = 0;
};

// Times to the first event on all engines of one speed.
struct speed_class {
  double first_event_ms = 0;  // Sum.
  double first_events = 0;
};

struct pending_request {
  generation run;
  int expected_output = 0;
  int retries = 0;
};

class fleet {
 public:
  fleet(const fleet_settings& settings, const alternative& tried)
      : settings_(settings),
        end_us_(std::int64_t{settings.seconds} * 1'000'000),
        engines_(static_cast<std::size_t>(settings.engines)),
        random_(settings.seed) {
    routing_configuration configuration;
    configuration.version = 1;
    routed_service service;
    service.id = service_id("engines");
    service.engine =
        engine_spec{engine_model::kSlots, engine_model::kMemoryTokens, true,
                    true, engine_model::kTokensPerEvent};
    configuration.services = {service};
    const auto table = std::make_shared<const route_table>(configuration);
    for (int i = 0; i < settings.engines; ++i) {
      target_entry entry;
      entry.id = target_id(fmt::format("e{:04}", i));
      entry.service = service.id;
      entry.domain = Domain(i % settings.domains);
      entry.slots = engine_model::kSlots;
      entry.sequence = 1;
      directory_.Upsert(entry, At(0));
      index_[entry.id] = i;
      ids_.push_back(entry.id);
      // Speeds differ between the engines of a domain and between domains.
      engines_[static_cast<std::size_t>(i)].speed =
          settings.speeds[static_cast<std::size_t>(i / settings.domains) %
                          settings.speeds.size()];
    }
    for (int i = 0; i < settings.instances; ++i) {
      instance_model instance;
      instance.domain = i % settings.domains;
      selection_settings selector_settings{Domain(instance.domain)};
      selector_settings.weighs_prefill_speeds = tried.weighs_prefill_speeds;
      instance.selector = std::make_unique<target_selector>(
          selector_settings, directory_,
          settings.seed * 1000 + static_cast<std::uint32_t>(i),
          tried.make_chooser(i, settings.instances));
      instance.selector->ApplyConfiguration(table);
      instance.selector->SetInstanceCount(
          static_cast<std::size_t>(settings.instances));
      instance.reported.resize(engines_.size());
      for (std::size_t e = 0; e < engines_.size(); ++e)
        instance.reported[e].target = ids_[e];
      instances_.push_back(std::move(instance));
      At(static_cast<std::int64_t>(
             Uniform() * static_cast<double>(settings.report_interval.count())),
         [this, i] { Report(i); });
    }
  }

  fleet_result Run() {
    ScheduleArrival(0);
    Sample(0);
    while (!events_.empty() && events_.top().at < end_us_) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      auto handler = std::move(handlers_[next.slot]);
      free_slots_.push_back(next.slot);
      handler();
    }
    return Result();
  }

 private:
  struct event {
    std::int64_t at;
    std::uint64_t number;
    std::size_t slot;
    bool operator<(const event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  static domain_id Domain(int index) {
    return domain_id(fmt::format("d{}", index));
  }

  static timestamp At(std::int64_t us) { return bench::At(us); }

  void At(std::int64_t us, std::function<void()> handler) {
    std::size_t slot = handlers_.size();
    if (free_slots_.empty()) {
      handlers_.emplace_back();
    } else {
      slot = free_slots_.back();
      free_slots_.pop_back();
    }
    handlers_[slot] = std::move(handler);
    events_.push({us, next_number_++, slot});
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  bool IsCut() const {
    return settings_.is_partitioned && now_ >= end_us_ / 3 &&
           now_ < end_us_ * 2 / 3;
  }

  bool IsReachable(int domain, int other) const {
    return !IsCut() || (domain == 0) == (other == 0);
  }

  void ScheduleArrival(std::int64_t from) {
    const double rate = settings_.requests_per_engine_second *
                        static_cast<double>(engines_.size()) / 1e6;
    const auto at = from + 1 +
                    static_cast<std::int64_t>(
                        std::exponential_distribution<double>(rate)(random_));
    At(at, [this, at] {
      ScheduleArrival(at);
      pending_request request;
      const bool is_long = Uniform() < settings_.long_share;
      request.expected_output = is_long ? kLongOutput : kShortOutput;
      const double output = std::lognormal_distribution<double>(
          std::log(request.expected_output) - kSigma * kSigma / 2,
          kSigma)(random_);
      request.run.output_tokens =
          std::clamp(static_cast<int>(output), 1,
                     kMaxOutputRatio * request.expected_output);
      request.run.prompt_tokens = 2200 + static_cast<int>(Uniform() * 800);
      request.run.priority = is_long ? 1 : 0;
      request.run.arrived_at = now_;
      Dispatch(request);
    });
  }

  void Dispatch(pending_request request) {
    const int i =
        std::uniform_int_distribution<int>(0, settings_.instances - 1)(random_);
    instance_model& instance = instances_[static_cast<std::size_t>(i)];
    selection_request wanted;
    wanted.service = service_id("engines");
    wanted.size =
        generation_size{request.run.prompt_tokens, request.expected_output};
    for (int connects = 0; connects < kMaxConnects; ++connects) {
      const auto before = std::chrono::steady_clock::now();
      const selection chosen = instance.selector->Choose(wanted, At(now_));
      choice_time_ += std::chrono::steady_clock::now() - before;
      ++choices_;
      const auto* id = std::get_if<target_id>(&chosen);
      if (!id)
        break;
      const int e = index_.at(*id);
      request.run.instance = i;
      request.run.run = instance.selector->BeginRun(*id, wanted, At(now_));
      if (!IsReachable(instance.domain, e % settings_.domains)) {
        instance.selector->EndRun(request.run.run, run_end::unreachable,
                                  At(now_));
        wanted.excluded.insert(*id);
        wanted.avoids_other_domains = true;
        continue;
      }
      engine_model& engine = engines_[static_cast<std::size_t>(e)];
      if (IsMeasured()) {
        ++engine.starts;
        abroad_ += instance.domain == e % settings_.domains ? 0 : 1;
      }
      engine.Enqueue(request.run, now_);
      if (!engine.is_running)
        Iterate(e);
      return;
    }
    if (request.retries++ >= kMaxRetries) {
      refused_ += IsMeasured() ? 1 : 0;
      return;
    }
    At(now_ + static_cast<std::int64_t>(kRetryDelayUs * (0.5 + Uniform())),
       [this, request] { Dispatch(request); });
  }

  void Iterate(int e) {
    engine_model& engine = engines_[static_cast<std::size_t>(e)];
    engine.is_running = !engine.queue.empty() || !engine.batch.empty();
    if (!engine.is_running)
      return;
    const std::int64_t queue_before = engine.queue_time_us;
    const std::int64_t end = engine.RunIteration(
        now_,
        [&](const generation& run, std::int64_t at) {
          if (IsMeasured()) {
            const double ms = static_cast<double>(at - run.arrived_at) / 1000;
            first_event_ms_.push_back(ms);
            speed_class& same = by_speed_[engine.speed];
            same.first_event_ms += ms;
            same.first_events += 1;
          }
          At(at,
             [this, run] { SelectorOf(run).OnFirstOutput(run.run, At(now_)); });
        },
        [&](const generation& run, std::int64_t at) {
          At(at, [this, run] {
            SelectorOf(run).EndRun(run.run, run_end::completed, At(now_));
          });
        });
    if (IsMeasured())
      queue_us_ += engine.queue_time_us - queue_before;
    At(end, [this, e] { Iterate(e); });
  }

  target_selector& SelectorOf(const generation& run) {
    return *instances_[static_cast<std::size_t>(run.instance)].selector;
  }

  bool IsMeasured() const {
    return static_cast<double>(now_) >=
           kWarmUpShare * static_cast<double>(end_us_);
  }

  // Sums of the instances' own loads on each side of the cut, collected at most
  // once for each millisecond.
  const std::vector<target_load>& Sums(bool is_first_side) {
    if (sums_at_ != now_ / 1000) {
      sums_at_ = now_ / 1000;
      for (auto& side : sums_) {
        side.assign(engines_.size(), {});
        for (std::size_t e = 0; e < engines_.size(); ++e)
          side[e].target = ids_[e];
      }
      for (const instance_model& instance : instances_) {
        auto& side = sums_[IsCut() && instance.domain == 0 ? 0 : 1];
        for (const target_load& load : instance.selector->OwnLoads(At(now_)))
          Add(side[static_cast<std::size_t>(index_.at(load.target))], load, 1);
      }
    }
    return sums_[is_first_side ? 0 : 1];
  }

  static void Add(target_load& sum, const target_load& load, int sign) {
    sum.runs += sign * load.runs;
    sum.tokens += sign * load.tokens;
    sum.pending_prefill_tokens += sign * load.pending_prefill_tokens;
    sum.failing_instances += sign * load.failing_instances;
  }

  // Sends the changed sums to an instance.
  void Report(int i) {
    At(now_ + settings_.report_interval.count(), [this, i] { Report(i); });
    instance_model& instance = instances_[static_cast<std::size_t>(i)];
    std::vector<target_load> others = Sums(IsCut() && instance.domain == 0);
    for (const target_load& load : instance.selector->OwnLoads(At(now_)))
      Add(others[static_cast<std::size_t>(index_.at(load.target))], load, -1);
    const bool is_refresh = now_ >= instance.refresh_due;
    if (is_refresh)
      instance.refresh_due = now_ + kRefreshIntervalUs;
    std::vector<target_load> changed;
    for (std::size_t e = 0; e < engines_.size(); ++e) {
      if (is_refresh || others[e] != instance.reported[e])
        changed.push_back(others[e]);
    }
    instance.reported = std::move(others);
    if (Uniform() < settings_.report_loss)
      return;
    At(now_ + settings_.report_delay.count(),
       [this, i, changed = std::move(changed)] {
         for (const target_load& load : changed)
           instances_[static_cast<std::size_t>(i)].selector->SetOthersLoad(
               load, At(now_));
       });
  }

  void Sample(std::int64_t at) {
    At(at + kSampleIntervalUs, [this, at] { Sample(at + kSampleIntervalUs); });
    if (!IsMeasured())
      return;
    for (std::size_t e = 0; e < engines_.size(); ++e) {
      ++samples_;
      if (!engines_[e].IsOverloaded())
        continue;
      const generation& waiting = engines_[e].queue.front();
      for (std::size_t other = e % static_cast<std::size_t>(settings_.domains);
           other < engines_.size();
           other += static_cast<std::size_t>(settings_.domains)) {
        if (other != e && engines_[other].HasRoomFor(waiting)) {
          ++overloaded_samples_;
          break;
        }
      }
    }
  }

  fleet_result Result() {
    fleet_result result;
    result.avoidable_overload = static_cast<double>(overloaded_samples_) /
                                static_cast<double>(samples_);
    const auto served = static_cast<double>(first_event_ms_.size());
    result.queue_ms_per_request =
        static_cast<double>(queue_us_) / 1000 / served;
    std::sort(first_event_ms_.begin(), first_event_ms_.end());
    result.first_event_p50_ms = first_event_ms_[first_event_ms_.size() / 2];
    result.first_event_p99_ms =
        first_event_ms_[first_event_ms_.size() * 99 / 100];
    std::int64_t busiest = 0;
    std::int64_t total = 0;
    const auto mean_ms = [](const speed_class& same) {
      return same.first_event_ms / same.first_events;
    };
    result.slow_to_fast_ratio = mean_ms(by_speed_.begin()->second) /
                                mean_ms(by_speed_.rbegin()->second);
    for (const engine_model& engine : engines_) {
      busiest = std::max(busiest, engine.starts);
      total += engine.starts;
    }
    result.busiest_ratio = static_cast<double>(busiest) *
                           static_cast<double>(engines_.size()) /
                           static_cast<double>(total);
    result.other_domain = abroad_ / static_cast<double>(total);
    result.refused = refused_ / (refused_ + served);
    result.choice_us =
        std::chrono::duration<double, std::micro>(choice_time_).count() /
        static_cast<double>(choices_);
    return result;
  }

  const fleet_settings settings_;
  const std::int64_t end_us_;
  target_directory directory_;
  std::vector<engine_model> engines_;
  std::vector<target_id> ids_;
  std::map<target_id, int> index_;
  std::vector<instance_model> instances_;
  std::mt19937 random_;
  std::priority_queue<event> events_;
  std::vector<std::function<void()>> handlers_;
  std::vector<std::size_t> free_slots_;
  std::uint64_t next_number_ = 0;
  std::int64_t now_ = 0;
  std::int64_t sums_at_ = -1;
  std::vector<target_load> sums_[2];
  std::vector<double> first_event_ms_;
  std::map<double, speed_class> by_speed_;
  std::int64_t queue_us_ = 0;
  std::int64_t samples_ = 0;
  std::int64_t overloaded_samples_ = 0;
  double refused_ = 0;
  double abroad_ = 0;
  std::chrono::steady_clock::duration choice_time_{};
  std::int64_t choices_ = 0;
};

}  // namespace

fleet_result RunFleet(const fleet_settings& settings,
                      const alternative& tried) {
  return fleet(settings, tried).Run();
}

}  // namespace wist::bench
