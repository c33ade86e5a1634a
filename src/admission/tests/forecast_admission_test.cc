#include <catch2/catch.hpp>

#include "admission/admission_module.h"
#include "configuration/tests/mocks/sample_configuration.h"

namespace wist {
namespace {

constexpr timestamp kStart{seconds(100)};

// Target gate with configurable results.
class fake_gate final : public i_target_gate {
 public:
  bool MayDispatch(const target_spec& target, timestamp) const override {
    return target.domain != blocked_domain;
  }
  std::int32_t ColdRequestLimit(const target_spec&, timestamp) const override {
    return cold_request_limit;
  }

  domain_id blocked_domain;
  std::int32_t cold_request_limit = 0;
};

struct fixture {
  fixture() {
    admission->ApplyConfiguration(SampleBody(), kStart);
    Report("engine-1", 0, false);
    Report("engine-2", 0, false);
  }

  void Report(const std::string& target, std::int64_t used_tokens, bool cold) {
    report_at += milliseconds(1);
    target_report report;
    report.taken_at = report_at;
    report.running = static_cast<std::int32_t>(used_tokens / 1000);
    report.memory_used = used_tokens;
    report.memory_total = 40000;
    report.cold = cold;
    admission->OnReport(target_id(target), report, report_at);
  }

  request_number Submit(std::int64_t prompt_tokens) {
    admission_request request;
    request.workspace = workspace_id("planners");
    request.service = service_id("briefs");
    request.prompt_tokens = prompt_tokens;
    request.first_token_deadline = now + seconds(2);
    return admission->Submit(request, now);
  }

  // Returns the number of requests admitted out of `count` submitted.
  int CountAdmitted(int count, std::int64_t prompt_tokens) {
    for (int i = 0; i < count; ++i)
      Submit(prompt_tokens);
    int admitted = 0;
    for (const admission_decision& decision : admission->ProcessQueue(now))
      admitted += std::holds_alternative<request_admitted>(decision) ? 1 : 0;
    return admitted;
  }

  std::shared_ptr<fake_gate> gate = std::make_shared<fake_gate>();
  std::unique_ptr<i_admission> admission =
      MakeForecastAdmission({}, gate, instance_id("i"), domain_id("rennes"));
  timestamp report_at = kStart;
  timestamp now = kStart + milliseconds(100);
};

}  // namespace

TEST_CASE_METHOD(fixture, "admission stops before memory runs out") {
  const int admitted = CountAdmitted(200, 1000);
  CHECK(admitted > 30);
  // The memory of both engines together fits 80 prompts without any output.
  CHECK(admitted < 80);
}

TEST_CASE_METHOD(fixture, "a full target gets no further requests") {
  Report("engine-1", 39000, false);
  Report("engine-2", 39000, false);
  CHECK(CountAdmitted(3, 1000) == 0);
}

TEST_CASE_METHOD(fixture, "a request that cannot start in time is shed") {
  Report("engine-1", 39000, false);
  Report("engine-2", 39000, false);
  Submit(1000);
  CHECK(admission->ProcessQueue(now).empty());
  now += seconds(2);
  const auto decisions = admission->ProcessQueue(now);
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<request_shed>(decisions[0]).reason == shed_reason::deadline);
}

TEST_CASE_METHOD(fixture,
                 "no request is sent to a target that the gate blocks") {
  gate->blocked_domain = domain_id("rennes");
  Submit(100);
  const auto decisions = admission->ProcessQueue(now);
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<request_admitted>(decisions[0]).target ==
        target_id("engine-2"));
}

TEST_CASE_METHOD(fixture,
                 "a cold target gets no more requests than its limit") {
  Report("engine-1", 0, true);
  Report("engine-2", 0, true);
  CHECK(CountAdmitted(5, 100) == 0);
  gate->cold_request_limit = 1;
  CHECK(CountAdmitted(5, 100) == 2);
}

TEST_CASE_METHOD(fixture, "a failed target is not used until a later report") {
  admission->OnTargetFailure(target_id("engine-1"), now);
  admission->OnTargetFailure(target_id("engine-2"), now);
  CHECK(CountAdmitted(1, 100) == 0);
  // A delayed report taken before the failure does not make the target usable.
  Report("engine-1", 0, false);
  CHECK(CountAdmitted(0, 100) == 0);
  report_at = now;
  Report("engine-1", 0, false);
  CHECK(CountAdmitted(0, 100) == 1);
}

TEST_CASE_METHOD(fixture,
                 "a rejoining target counts as cold until it reports warm") {
  configuration_body out = SampleBody();
  out.domains[0].state = domain_state::out;
  out.domains[1].state = domain_state::out;
  admission->ApplyConfiguration(out, now);
  admission->ApplyConfiguration(SampleBody(), now);
  CHECK(CountAdmitted(3, 100) == 0);
  gate->cold_request_limit = 1;
  CHECK(CountAdmitted(0, 100) == 2);
  report_at = now;
  Report("engine-1", 0, false);
  CHECK(CountAdmitted(0, 100) == 1);
}

TEST_CASE_METHOD(fixture, "a target whose tokens stop arriving is not used") {
  // engine-2 is nearly full, so the requests are sent to engine-1.
  Report("engine-2", 39000, false);
  const request_number running = Submit(100);
  admission->ProcessQueue(now);
  for (int i = 1; i <= 20; ++i) {
    now += milliseconds(15);
    admission->OnProgress(running, i, now);
  }
  now += milliseconds(30);
  CHECK(CountAdmitted(1, 100) == 1);
  now += milliseconds(30);
  CHECK(CountAdmitted(1, 100) == 0);
  report_at = now;
  Report("engine-1", 1000, false);
  CHECK(CountAdmitted(0, 100) == 1);
}

TEST_CASE_METHOD(fixture, "the load granted to other instances is kept free") {
  quota_grant grant;
  grant.target = target_id("engine-1");
  grant.others_forecast.mean.fill(20000);
  grant.others_running = 20;
  grant.share = 0.5;
  grant.deadline = now + seconds(3);
  admission->OnGrant(grant);
  grant.target = target_id("engine-2");
  admission->OnGrant(grant);
  const int with_others = CountAdmitted(100, 1000);
  CHECK(with_others > 5);
  CHECK(with_others < 22);  // This instance may use half of the free memory.
}

TEST_CASE_METHOD(fixture,
                 "a request for a service without a rule is shed at once") {
  admission_request request;
  request.workspace = workspace_id("planners");
  request.service = service_id("nothing");
  admission->Submit(request, now);
  const auto decisions = admission->ProcessQueue(now);
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<request_shed>(decisions[0]).reason == shed_reason::no_target);
}

}  // namespace wist
