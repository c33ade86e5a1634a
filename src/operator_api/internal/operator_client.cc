#include <algorithm>
#include <thread>

#include "configuration/configuration_text.h"
#include "framework/base/hashing.h"
#include "framework/base/system_clock.h"
#include "framework/http/http_module.h"
#include "operator_api/operator_api_module.h"
#include "store/store_module.h"

namespace wist {
namespace {

constexpr char kConfigurationKey[] = "wisteriatally/configuration";
constexpr std::size_t kMaxHistoryLength = 50;
constexpr std::size_t kChangeIdBytes = 8;
constexpr milliseconds kStoreCallTimeout{1000};
constexpr milliseconds kRetryInterval{100};

class operator_client final : public i_operator_client {
 public:
  operator_client(std::shared_ptr<i_kv_store> store,
                  std::shared_ptr<const i_clock> clock)
      : store_(std::move(store)), clock_(std::move(clock)) {}

  change_plan Plan(const configuration_body& body,
                   timestamp deadline) override {
    std::vector<configuration_error> errors = Validate(body);
    if (!errors.empty())
      throw configuration_refused(std::move(errors));
    const kv_entry entry = store_->Read(kConfigurationKey, deadline);
    const configuration_document base = Decode(entry);
    change_plan plan;
    plan.body = Canonicalize(body);
    plan.text = CanonicalText(body);
    plan.digest = Sha256Hex(plan.text);
    plan.difference = DifferenceLines(base.body, body);
    plan.base_version = base.version;
    plan.base_revision = entry.revision;
    plan.base_history = base.history;
    return plan;
  }

  apply_result Apply(const change_plan& plan,
                     const std::string& author,
                     timestamp deadline) override {
    const configuration_document document = ToDocument(plan, author);
    const std::string text = EncodeDocument(document);
    while (clock_->Now() < deadline) {
      const auto outcome = TryApply(plan, document, text, deadline);
      if (outcome)
        return *outcome;
      std::this_thread::sleep_for(kRetryInterval);
    }
    return change_in_doubt{document.change_id};
  }

  configuration_document Show(timestamp deadline) override {
    return Decode(store_->Read(kConfigurationKey, deadline));
  }

 private:
  static configuration_document Decode(const kv_entry& entry) {
    return entry.value.empty() ? configuration_document{}
                               : DecodeDocument(entry.value);
  }

  static configuration_document ToDocument(const change_plan& plan,
                                           const std::string& author) {
    configuration_document document;
    document.version = plan.base_version + 1;
    document.change_id = RandomHex(kChangeIdBytes);
    document.author = author;
    document.body = plan.body;
    document.history = plan.base_history;
    document.history.push_back(
        {document.version, document.change_id, author, plan.digest});
    if (document.history.size() > kMaxHistoryLength)
      document.history.erase(document.history.begin());
    return document;
  }

  // Returns nothing while the outcome of the write is unknown. Writing again is
  // safe: of several writes based on one revision only one takes effect.
  std::optional<apply_result> TryApply(const change_plan& plan,
                                       const configuration_document& document,
                                       const std::string& text,
                                       timestamp deadline) {
    try {
      const kv_swap_result result = store_->CompareAndSwap(
          kConfigurationKey, plan.base_revision, text,
          std::min(deadline, clock_->Now() + kStoreCallTimeout));
      if (std::holds_alternative<kv_written>(result))
        return change_accepted{document.version, document.change_id};
      if (const auto* conflict = std::get_if<kv_conflict>(&result))
        return ResolveConflict(document, Decode(conflict->current));
    } catch (const kv_unavailable&) {
      // This call wrote nothing, so the write can be tried again.
    }
    return std::nullopt;
  }

  // Returns change_accepted if the history shows that `own` was written after
  // all and only the response was lost.
  static apply_result ResolveConflict(const configuration_document& own,
                                      const configuration_document& current) {
    for (const change_record& change : current.history) {
      if (change.change_id == own.change_id)
        return change_accepted{own.version, own.change_id};
    }
    return change_superseded{current.version, current.change_id,
                             current.author};
  }

  const std::shared_ptr<i_kv_store> store_;
  const std::shared_ptr<const i_clock> clock_;
};

}  // namespace

std::unique_ptr<i_operator_client> MakeOperatorClient(
    std::shared_ptr<i_kv_store> store,
    std::shared_ptr<const i_clock> clock) {
  return std::make_unique<operator_client>(std::move(store), std::move(clock));
}

std::unique_ptr<i_operator_client> ConnectOperatorClient(
    const http_address& platform) {
  auto clock = MakeSystemClock();
  auto store = MakeHttpKvStore(MakeHttpClient(clock), clock, platform,
                               /*domain=*/"operators");
  return MakeOperatorClient(std::move(store), std::move(clock));
}

}  // namespace wist
