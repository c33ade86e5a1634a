#ifndef GATEWAY_TESTS_MOCKS_SIMULATED_STORE_H_
#define GATEWAY_TESTS_MOCKS_SIMULATED_STORE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "follower/i_async_store.h"
#include "framework/net/tests/mocks/virtual_scheduler.h"

namespace wist {

// A store on a virtual clock that writes conditionally, ends leases and reports
// all changes to its observers after a delay, as the mirrors of instances do.
class simulated_store final : public i_async_store {
 public:
  using observer = std::function<void(const store_change&)>;

  explicit simulated_store(virtual_scheduler& scheduler)
      : scheduler_(scheduler) {}

  // Reports the content to the observer at once, and later changes.
  void Attach(const std::string& name, observer observe) {
    for (const auto& [key, item] : items_)
      observe(item.change);
    observers_[name] = std::move(observe);
  }
  void Detach(const std::string& name) { observers_.erase(name); }

  void EndLease(store_lease lease) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease)
        keys.push_back(key);
    }
    for (const std::string& key : keys) {
      items_.erase(key);
      Report({key, std::nullopt, ++revision_});
    }
  }

  void ReadRange(const std::string&,
                 const std::string&,
                 std::function<void(range_result)>) override {}
  void Watch(const std::string&,
             store_revision,
             milliseconds,
             std::function<void(watch_result)>) override {}
  void ReadRecent(const std::string&,
                  std::function<void(range_result)>) override {}

  void CreateLease(
      milliseconds validity,
      std::function<void(std::optional<store_lease>)> done) override {
    Respond([this, validity, done] {
      if (!is_available)
        return done(std::nullopt);
      const store_lease lease = ++last_lease_;
      lease_timers_[lease] = scheduler_.RunAt(
          scheduler_.Now() + validity, [this, lease] { EndLease(lease); });
      validity_[lease] = validity;
      done(lease);
    });
  }

  void RenewLease(store_lease lease,
                  std::function<void(lease_renewal)> done) override {
    Respond([this, lease, done] {
      if (!is_available)
        return done(lease_renewal::unknown);
      ++renewals;
      lease_timers_[lease] =
          scheduler_.RunAt(scheduler_.Now() + validity_[lease],
                           [this, lease] { EndLease(lease); });
      done(lease_renewal::renewed);
    });
  }

  void PutUnderLease(const std::string&,
                     const std::string&,
                     store_lease,
                     std::function<void(bool)> done) override {
    done(false);
  }

  void PutIfUnchanged(const std::string& key,
                      store_revision expected_revision,
                      const std::string& value,
                      store_lease lease,
                      std::function<void(put_result)> done) override {
    Put({{key, expected_revision}}, key, value, lease, std::move(done));
  }

  void PutDurably(const std::vector<key_condition>& conditions,
                  const std::string& key,
                  const std::string& value,
                  std::function<void(put_result)> done) override {
    Put(conditions, key, value, 0, std::move(done));
  }

  // Writes a key as an operator does.
  void Set(const std::string& key, const std::string& value) {
    const store_change change{key, value, ++revision_};
    items_[key] = {change, 0};
    Report(change);
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) > 0)
      Report({key, std::nullopt, ++revision_});
  }

  std::vector<store_change> Items() const {
    std::vector<store_change> items;
    for (const auto& [key, item] : items_)
      items.push_back(item.change);
    return items;
  }

  bool is_available = true;
  // Executes writes without a response.
  bool loses_responses = false;
  int puts = 0;
  int renewals = 0;
  // Time until the mirrors of all instances have a change.
  milliseconds mirror_delay{300};

 private:
  static constexpr milliseconds kResponseDelay{4};

  struct item {
    store_change change;
    store_lease lease = 0;
  };

  void Put(const std::vector<key_condition>& conditions,
           const std::string& key,
           const std::string& value,
           store_lease lease,
           std::function<void(put_result)> done) {
    Respond([this, conditions, key, value, lease, done] {
      if (!is_available)
        return done(put_result::unknown);
      ++puts;
      for (const auto& condition : conditions) {
        const auto held = items_.find(condition.key);
        const store_revision revision = held == items_.end()
                                            ? store_revision()
                                            : held->second.change.revision;
        if (revision != condition.revision)
          return done(put_result::changed);
      }
      const store_change change{key, value, ++revision_};
      items_[key] = {change, lease};
      Report(change);
      done(loses_responses ? put_result::unknown : put_result::written);
    });
  }

  void Respond(std::function<void()> step) {
    RunAt(scheduler_.Now() + kResponseDelay, std::move(step));
  }

  void Report(const store_change& change) {
    for (const auto& [name, observe] : observers_) {
      RunAt(scheduler_.Now() + mirror_delay, [this, name = name, change] {
        const auto found = observers_.find(name);
        if (found != observers_.end())
          found->second(change);
      });
    }
  }

  void RunAt(timestamp deadline, std::function<void()> step) {
    const std::uint64_t number = next_step_++;
    steps_[number] =
        scheduler_.RunAt(deadline, [this, number, step = std::move(step)] {
          const auto timer = std::move(steps_[number]);
          steps_.erase(number);
          step();
        });
  }

  virtual_scheduler& scheduler_;
  std::map<std::string, observer> observers_;
  std::map<std::string, item> items_;
  std::map<store_lease, std::unique_ptr<i_timer>> lease_timers_;
  std::map<store_lease, milliseconds> validity_;
  std::map<std::uint64_t, std::unique_ptr<i_timer>> steps_;
  std::uint64_t next_step_ = 0;
  std::int64_t revision_ = 0;
  store_lease last_lease_ = 0;
};

}  // namespace wist

#endif  // GATEWAY_TESTS_MOCKS_SIMULATED_STORE_H_
