#include "node/internal/store_follower.h"

#include "configuration/configuration_text.h"

namespace wist {
namespace {

constexpr milliseconds kWatchTime{800};
constexpr milliseconds kWriteLimit{1000};

}  // namespace

store_follower::store_follower(std::shared_ptr<i_kv_store> store,
                               std::shared_ptr<const i_clock> clock,
                               std::shared_ptr<i_configuration_holder> holder,
                               std::shared_ptr<cluster_desk> cluster,
                               std::shared_ptr<i_logger> logger)
    : store_(std::move(store)),
      clock_(std::move(clock)),
      holder_(std::move(holder)),
      cluster_(std::move(cluster)),
      logger_(std::move(logger)) {}

void store_follower::Follow() {
  const timestamp called_at = clock_->Now();
  const auto entry =
      store_->Watch(kConfigurationKey, seen_revision_, called_at + kWatchTime);
  if (entry) {
    TakeEntry(*entry, called_at);
    return;
  }
  // The value stood unchanged for the whole watch, which began no earlier
  // than the call.
  if (seen_revision_ != 0)
    cluster_->OnStoreRead(seen_version_, called_at + kWatchTime);
}

void store_follower::TakeEntry(const kv_entry& entry, timestamp read_at) {
  seen_revision_ = entry.revision;
  const auto held = holder_->Current();
  if (entry.value.empty()) {
    if (held)
      PutBack(*held, entry.revision);
    return;
  }
  configuration_document document;
  try {
    document = DecodeDocument(entry.value);
  } catch (const configuration_parse_error& error) {
    logger_->Write(log_level::error, "configuration_unreadable",
                   {{"reason", std::string(error.what())}});
    return;
  }
  const offer_result result = holder_->Offer(document);
  if (result == offer_result::fork) {
    logger_->Write(
        log_level::error, "configuration_fork",
        {{"version", document.version}, {"change_id", document.change_id}});
    return;
  }
  if (result == offer_result::older) {
    PutBack(*holder_->Current(), entry.revision);
    return;
  }
  seen_version_ = document.version;
  cluster_->OnStoreRead(document.version, read_at);
}

// An accepted configuration never reverts: a store that came back older gets
// the newer one again. The swap loses against any operator's change.
void store_follower::PutBack(const configuration_document& held,
                             std::uint64_t revision) {
  logger_->Write(log_level::warning, "configuration_put_back",
                 {{"version", held.version}});
  store_->CompareAndSwap(kConfigurationKey, revision, EncodeDocument(held),
                         clock_->Now() + kWriteLimit);
}

}  // namespace wist
