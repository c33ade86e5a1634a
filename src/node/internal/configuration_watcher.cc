#include "node/internal/configuration_watcher.h"

#include "configuration/configuration_text.h"

namespace wist {
namespace {

constexpr milliseconds kWatchTimeout{800};
constexpr milliseconds kWriteTimeout{1000};

}  // namespace

configuration_watcher::configuration_watcher(
    std::shared_ptr<i_kv_store> store,
    std::shared_ptr<const i_clock> clock,
    std::shared_ptr<i_configuration_holder> holder,
    std::shared_ptr<cluster_state> cluster,
    std::shared_ptr<i_logger> logger)
    : store_(std::move(store)),
      clock_(std::move(clock)),
      holder_(std::move(holder)),
      cluster_(std::move(cluster)),
      logger_(std::move(logger)) {}

void configuration_watcher::WatchOnce() {
  const timestamp called_at = clock_->Now();
  const auto entry = store_->Watch(kConfigurationKey, seen_revision_,
                                   called_at + kWatchTimeout);
  if (entry) {
    OnEntry(*entry, called_at);
    return;
  }
  // The value did not change during the watch. The watch started no earlier
  // than the call, so the value was still current at `called_at` plus the
  // length of the watch.
  if (seen_revision_ != 0)
    cluster_->OnStoreRead(seen_version_, called_at + kWatchTimeout);
}

void configuration_watcher::OnEntry(const kv_entry& entry, timestamp read_at) {
  seen_revision_ = entry.revision;
  const auto current = holder_->Current();
  if (entry.value.empty()) {
    if (current)
      RestoreToStore(*current, entry.revision);
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
  const update_result result = holder_->UpdateIfNewer(document);
  if (result == update_result::fork) {
    logger_->Write(
        log_level::error, "configuration_fork",
        {{"version", document.version}, {"change_id", document.change_id}});
    return;
  }
  if (result == update_result::older) {
    RestoreToStore(*holder_->Current(), entry.revision);
    return;
  }
  seen_version_ = document.version;
  cluster_->OnStoreRead(document.version, read_at);
}

// An accepted configuration is never reverted: if the store was restored to an
// older state, the newer version is written to it again. The compare-and-swap
// fails if an operator changes the configuration in the meantime.
void configuration_watcher::RestoreToStore(
    const configuration_document& current,
    std::uint64_t revision) {
  logger_->Write(log_level::warning, "configuration_put_back",
                 {{"version", current.version}});
  store_->CompareAndSwap(kConfigurationKey, revision, EncodeDocument(current),
                         clock_->Now() + kWriteTimeout);
}

}  // namespace wist
