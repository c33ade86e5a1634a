#ifndef FRAMEWORK_BASE_STRONG_ID_H_
#define FRAMEWORK_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace wist {

// A string identifier whose type depends on `Tag`, so that identifiers of
// different entities cannot be mixed up.
template <typename Tag>
class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

  auto operator<=>(const strong_id&) const = default;

 private:
  std::string text_;
};

}  // namespace wist

template <typename Tag>
struct std::hash<wist::strong_id<Tag>> {
  std::size_t operator()(const wist::strong_id<Tag>& id) const {
    return std::hash<std::string>()(id.text());
  }
};

#endif  // FRAMEWORK_BASE_STRONG_ID_H_
