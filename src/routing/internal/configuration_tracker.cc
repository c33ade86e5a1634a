#include "routing/configuration_tracker.h"

#include <algorithm>

namespace wist {

bool configuration_tracker::UpdateIfNewer(routing_configuration configuration,
                                          timestamp confirmed_at) {
  if (table_ && configuration.version <= version()) {
    Confirm(configuration.version, confirmed_at);
    return false;
  }
  table_ = std::make_shared<const route_table>(std::move(configuration));
  confirmed_at_ = confirmed_at;
  return true;
}

void configuration_tracker::Confirm(std::int64_t version,
                                    timestamp confirmed_at) {
  // A confirmation of another version does not show that the held one is
  // current.
  if (!table_ || version != this->version())
    return;
  confirmed_at_ =
      confirmed_at_ ? std::max(*confirmed_at_, confirmed_at) : confirmed_at;
}

std::int64_t configuration_tracker::version() const {
  return table_ ? table_->configuration().version : 0;
}

bool configuration_tracker::IsFresh(timestamp now,
                                    milliseconds validity) const {
  return confirmed_at_ && now < *confirmed_at_ + validity;
}

std::optional<microseconds> configuration_tracker::ConfirmationAge(
    timestamp now) const {
  if (!confirmed_at_)
    return std::nullopt;
  return now - *confirmed_at_;
}

}  // namespace wist
