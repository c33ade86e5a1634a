#include <mutex>
#include <vector>

#include "configuration/configuration_module.h"

namespace wist {
namespace {

class configuration_holder final : public i_configuration_holder {
 public:
  update_result UpdateIfNewer(const configuration_document& document) override {
    // Locked while subscribers are called, so that they receive versions in
    // order.
    std::lock_guard notify_lock(notify_mutex_);
    const update_result result = Compare(document);
    if (result != update_result::accepted)
      return result;
    auto accepted = std::make_shared<const configuration_document>(document);
    {
      std::lock_guard lock(mutex_);
      current_ = accepted;
    }
    for (const subscriber& on_change : subscribers_)
      on_change(accepted);
    return update_result::accepted;
  }

  std::shared_ptr<const configuration_document> Current() const override {
    std::lock_guard lock(mutex_);
    return current_;
  }

  void Subscribe(subscriber on_change) override {
    std::lock_guard notify_lock(notify_mutex_);
    subscribers_.push_back(std::move(on_change));
  }

 private:
  update_result Compare(const configuration_document& document) const {
    const auto current = Current();
    if (!current || document.version > current->version)
      return update_result::accepted;
    if (document.version < current->version)
      return update_result::older;
    return document == *current ? update_result::unchanged
                                : update_result::fork;
  }

  // Lock order: notify_mutex_ before mutex_.
  std::mutex notify_mutex_;
  mutable std::mutex mutex_;
  std::shared_ptr<const configuration_document> current_;
  std::vector<subscriber> subscribers_;
};

}  // namespace

std::shared_ptr<i_configuration_holder> MakeConfigurationHolder() {
  return std::make_shared<configuration_holder>();
}

}  // namespace wist
