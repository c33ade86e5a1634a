#include "peers/internal/page_codec.h"

#include <nlohmann/json.hpp>

namespace wist {
namespace {

using nlohmann::json;

json EncodeChanges(const std::vector<store_change>& changes) {
  json list = json::array();
  for (const store_change& change : changes) {
    json entry = json::array({change.key, change.revision.number});
    if (change.value)
      entry.push_back(*change.value);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<store_change> DecodeChanges(const json& list) {
  std::vector<store_change> changes;
  for (const json& entry : list) {
    store_change change;
    change.key = entry.at(0).get<std::string>();
    change.revision.number = entry.at(1).get<std::int64_t>();
    if (entry.size() > 2)
      change.value = entry.at(2).get<std::string>();
    changes.push_back(std::move(change));
  }
  return changes;
}

// The eras of the changes follow as a list of their own, since earlier versions
// read the entries of the changes by their size.
json EncodeEras(const std::vector<store_change>& changes) {
  json list = json::array();
  for (const store_change& change : changes)
    list.push_back(change.revision.era);
  return list;
}

void DecodeEras(const json& list, std::vector<store_change>& changes) {
  for (std::size_t i = 0; i < changes.size(); ++i)
    changes[i].revision.era = list.at(i).get<std::int64_t>();
}

json EncodeContent(store_revision at_revision,
                   microseconds age,
                   const std::vector<store_change>& changes,
                   microseconds held,
                   bool has_gap) {
  json page = json::array(
      {at_revision.number, age.count(), EncodeChanges(changes), held.count()});
  if (at_revision.era > 0 || has_gap) {
    page.push_back(at_revision.era);
    page.push_back(EncodeEras(changes));
  }
  if (has_gap)
    page.push_back(true);
  return page;
}

std::string ToMsgpack(const json& page) {
  const auto bytes = json::to_msgpack(page);
  return {bytes.begin(), bytes.end()};
}

std::string EncodeError(store_error error) {
  return ToMsgpack(json::array({static_cast<int>(error)}));
}

struct decoded_page {
  std::vector<store_change> changes;
  store_revision at_revision;
  microseconds age{0};
  microseconds held{0};
  bool has_gap = false;
};

std::variant<decoded_page, store_error> DecodePage(const std::string& bytes) {
  try {
    const json page = json::from_msgpack(bytes);
    if (page.size() == 1) {
      return page.at(0).get<int>() ==
                     static_cast<int>(store_error::history_gone)
                 ? store_error::history_gone
                 : store_error::unavailable;
    }
    decoded_page decoded{
        DecodeChanges(page.at(2)), page.at(0).get<std::int64_t>(),
        microseconds(page.at(1).get<std::int64_t>()),
        microseconds(page.size() > 3 ? page.at(3).get<std::int64_t>() : 0)};
    if (page.size() > 4) {
      decoded.at_revision.era = page.at(4).get<std::int64_t>();
      DecodeEras(page.at(5), decoded.changes);
    }
    decoded.has_gap = page.size() > 6 && page.at(6).get<bool>();
    return decoded;
  } catch (const json::exception&) {
    return store_error::unavailable;
  }
}

}  // namespace

std::string EncodePage(const range_result& result) {
  if (const auto* error = std::get_if<store_error>(&result))
    return EncodeError(*error);
  const auto& page = std::get<range_page>(result);
  return ToMsgpack(EncodeContent(page.at_revision, page.age, page.items,
                                 microseconds(0), false));
}

std::string EncodePage(const watch_result& result) {
  if (const auto* error = std::get_if<store_error>(&result))
    return EncodeError(*error);
  const auto& page = std::get<watch_page>(result);
  return ToMsgpack(EncodeContent(page.at_revision, page.age, page.changes,
                                 page.held, page.has_gap));
}

range_result DecodeRangePage(const std::string& bytes) {
  auto decoded = DecodePage(bytes);
  if (const auto* error = std::get_if<store_error>(&decoded))
    return *error;
  auto& fields = std::get<decoded_page>(decoded);
  return range_page{std::move(fields.changes), false, fields.at_revision,
                    fields.age};
}

bool IsUnavailablePage(const std::string& bytes) {
  return bytes == EncodeError(store_error::unavailable);
}

watch_result DecodeWatchPage(const std::string& bytes) {
  auto decoded = DecodePage(bytes);
  if (const auto* error = std::get_if<store_error>(&decoded))
    return *error;
  auto& fields = std::get<decoded_page>(decoded);
  return watch_page{std::move(fields.changes), fields.at_revision, fields.age,
                    fields.held, fields.has_gap};
}

}  // namespace wist
