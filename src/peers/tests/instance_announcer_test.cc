#include <catch2/catch.hpp>

#include "framework/net/tests/mocks/virtual_scheduler.h"
#include "peers/instance_announcer.h"

using namespace wist;

namespace {

known_instance Self() {
  return {"self", domain_id("d"), {"10.0.0.9", 7200}, 20};
}

class counting_store final : public i_async_store {
 public:
  void ReadRange(const std::string&,
                 const std::string&,
                 std::function<void(range_result)>) override {}
  void Watch(const std::string&,
             store_revision,
             milliseconds,
             std::function<void(watch_result)>) override {}
  void ReadRecent(const std::string&,
                  std::function<void(range_result)> done) override {
    ++lists;
    done(list);
  }
  void CreateLease(
      milliseconds,
      std::function<void(std::optional<store_lease>)> done) override {
    ++leases;
    done(is_available ? std::optional<store_lease>(40 + leases) : std::nullopt);
  }
  void RenewLease(store_lease lease,
                  std::function<void(lease_renewal)> done) override {
    renewed.push_back(lease);
    done(renewal);
  }
  void PutUnderLease(const std::string& key,
                     const std::string& value,
                     store_lease,
                     std::function<void(bool)> done) override {
    puts.push_back(key + "=" + value);
    done(is_available);
  }
  void PutIfUnchanged(const std::string&,
                      store_revision,
                      const std::string&,
                      store_lease,
                      std::function<void(put_result)>) override {}
  void PutDurably(const std::vector<key_condition>&,
                  const std::string&,
                  const std::string&,
                  std::function<void(put_result)>) override {}

  range_result list = range_page{{}, false, 1};
  bool is_available = true;
  lease_renewal renewal = lease_renewal::renewed;
  int lists = 0;
  int leases = 0;
  std::vector<store_lease> renewed;
  std::vector<std::string> puts;
};

struct fixture {
  void Start(bool is_first_start = false) {
    announcer.Start(is_first_start,
                    [this](const auto& list) { others = list; });
  }

  virtual_scheduler scheduler;
  counting_store store;
  int failures = 0;
  std::optional<std::vector<known_instance>> others;
  instance_announcer announcer{Self(), store, scheduler,
                               [this] { ++failures; }};
};

store_change Entry(const known_instance& instance, store_lease lease) {
  return {std::string(kInstancePrefix) + instance.name,
          EncodeAnnouncement(instance, lease), 3};
}

}  // namespace

TEST_CASE("an instance that is not announced writes its entry") {
  fixture f;
  f.Start();
  REQUIRE(f.store.puts.size() == 1);
  CHECK(f.store.puts[0] == "wist/instances/self=10.0.0.9:7200 d 20 41");
  CHECK(f.others->empty());
  CHECK(f.store.renewed.empty());
}

TEST_CASE("a restarted instance renews the lease of its entry") {
  fixture f;
  known_instance other = Self();
  other.name = "other";
  f.store.list = range_page{{Entry(Self(), 77), Entry(other, 78)}, false, 1};
  f.Start();
  CHECK(f.store.puts.empty());
  CHECK(f.store.renewed == std::vector<store_lease>{77});
  REQUIRE(f.others);
  CHECK(*f.others == std::vector<known_instance>{other});
}

TEST_CASE("an entry of another address or with an ended lease is replaced") {
  fixture moved;
  known_instance elsewhere = Self();
  elsewhere.address.host = "10.0.0.8";
  moved.store.list = range_page{{Entry(elsewhere, 77)}, false, 1};
  moved.Start();
  CHECK(moved.store.renewed.empty());
  CHECK(moved.store.puts.size() == 1);

  fixture ended;
  ended.store.list = range_page{{Entry(Self(), 77)}, false, 1};
  ended.store.renewal = lease_renewal::ended;
  ended.Start();
  CHECK(ended.store.puts.size() == 1);
}

TEST_CASE("the lease is renewed before it ends") {
  fixture f;
  f.Start();
  f.scheduler.Advance(milliseconds(90'000));
  CHECK(f.store.renewed == std::vector<store_lease>{41});
  f.store.renewal = lease_renewal::unknown;
  f.scheduler.Advance(milliseconds(90'000));
  CHECK(f.failures == 1);
  f.store.renewal = lease_renewal::ended;
  f.scheduler.Advance(milliseconds(2000));
  CHECK(f.store.puts.size() == 2);
}

TEST_CASE("a failed announcement is retried after a delay") {
  fixture f;
  f.store.is_available = false;
  f.store.list = store_error::unavailable;
  f.Start();
  CHECK(f.others);
  CHECK(f.failures == 1);
  f.scheduler.Advance(milliseconds(1999));
  CHECK(f.store.leases == 1);
  f.store.is_available = true;
  f.scheduler.Advance(milliseconds(1));
  CHECK(f.store.puts.size() == 1);
}

TEST_CASE("at the first start the list is read after all have announced") {
  fixture f;
  f.Start(true);
  CHECK(f.store.puts.size() == 1);
  CHECK_FALSE(f.others);
  f.scheduler.Advance(milliseconds(1000));
  CHECK(f.others);
  CHECK(f.store.puts.size() == 1);
  CHECK(f.store.renewed.empty());
}

// Three hundred instances that restart after a loss of power read no more than
// the list and renew their leases.
TEST_CASE("a restart makes one cheap read and one renewal") {
  fixture f;
  f.store.list = range_page{{Entry(Self(), 77)}, false, 1};
  f.Start();
  f.scheduler.Advance(milliseconds(80'000));
  CHECK(f.store.lists == 1);
  CHECK(f.store.renewed.size() == 1);
  CHECK(f.store.leases + static_cast<int>(f.store.puts.size()) == 0);
}
