#include "peers/peer_report.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace wist {
namespace {

using nlohmann::json;

// Reports in other formats are ignored, since their loads have another meaning.
constexpr int kFormat = 2;

// Position of the roll-outs in a report.
constexpr std::size_t kRolloutsField = 8;

// Position of the refusals in a load.
constexpr std::size_t kRefusalsField = 5;

// Older reports are of no use to anyone.
constexpr std::uint64_t kMaxAgeUs = 3'600'000'000;

constexpr std::uint64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();

target_load DecodeLoad(const json& fields) {
  target_load load{
      target_id(fields.at(0).get<std::string>()),
      fields.at(1).get<std::int32_t>(), fields.at(2).get<std::int64_t>(),
      fields.at(3).get<std::int64_t>(), fields.at(4).get<std::int32_t>()};
  // Instances of earlier versions ignore these fields and don't send them.
  if (fields.size() > kRefusalsField + 1) {
    load.recent_refusals = fields.at(kRefusalsField).get<std::int32_t>();
    load.brittle_instances = fields.at(kRefusalsField + 1).get<std::int32_t>();
  }
  return load;
}

crash_notice DecodeCrash(const json& fields) {
  crash_notice notice;
  notice.subject = fields.at(0).get<suspect_digest>();
  const auto target = fields.at(1).get<std::string>();
  if (!target.empty())
    notice.target = target_id(target);
  notice.age =
      microseconds(std::max<std::int64_t>(0, fields.at(2).get<std::int64_t>()));
  // Instances of earlier versions report requests only.
  if (fields.size() > 3)
    notice.prompt_parts = fields.at(3).get<std::vector<prompt_part_digest>>();
  return notice;
}

// Counts are sparse: the numbers of responses and of bad ones, followed by each
// bucket in use and its count.
json EncodeCounts(const response_counts& counts) {
  json fields = json::array({counts.responses, counts.bad});
  for (std::size_t i = 0; i < counts.latencies.size(); ++i) {
    if (counts.latencies[i] == 0)
      continue;
    fields.push_back(i);
    fields.push_back(counts.latencies[i]);
  }
  return fields;
}

// Throws std::invalid_argument if the field is not a number in the range.
template <typename Unsigned>
Unsigned UnsignedField(const json& fields, std::size_t index) {
  const json& field = fields.at(index);
  if (!field.is_number_unsigned() ||
      field.get<std::uint64_t>() > std::numeric_limits<Unsigned>::max())
    throw std::invalid_argument("not an unsigned number");
  return field.get<Unsigned>();
}

response_counts DecodeCounts(const json& fields) {
  response_counts counts;
  counts.responses = UnsignedField<std::uint32_t>(fields, 0);
  counts.bad = UnsignedField<std::uint32_t>(fields, 1);
  for (std::size_t i = 2; i < fields.size(); i += 2) {
    const auto bucket = UnsignedField<std::uint8_t>(fields, i);
    // A later version may have more buckets.
    counts.latencies[std::min<std::size_t>(bucket,
                                           response_counts::kBuckets - 1)] +=
        UnsignedField<std::uint32_t>(fields, i + 1);
  }
  return counts;
}

json EncodeRollout(const rollout_sums& sums) {
  json strata = json::array();
  for (const auto& [stratum, counts] : sums.samples.strata()) {
    strata.push_back(json::array({stratum.route, stratum.domain,
                                  EncodeCounts(counts.old_version),
                                  EncodeCounts(counts.new_version)}));
  }
  return json::array({sums.id.service.text(), sums.id.request_revision,
                      sums.instances, sums.unfinished, sums.age.count(),
                      std::move(strata), sums.found_bad});
}

rollout_sums DecodeRollout(const json& fields) {
  rollout_sums sums;
  sums.id = {service_id(fields.at(0).get<std::string>()),
             static_cast<std::int64_t>(UnsignedField<std::uint64_t>(fields, 1) &
                                       kMaxRevision)};
  sums.instances = UnsignedField<std::uint32_t>(fields, 2);
  sums.unfinished = UnsignedField<std::uint64_t>(fields, 3);
  sums.age = microseconds(static_cast<std::int64_t>(
      std::min(UnsignedField<std::uint64_t>(fields, 4), kMaxAgeUs)));
  sums.found_bad = fields.at(6).get<bool>();
  // Strata beyond version_samples::kMaxStrata are merged.
  for (const json& stratum : fields.at(5)) {
    sums.samples.Add(
        {UnsignedField<std::uint32_t>(stratum, 0),
         UnsignedField<std::uint32_t>(stratum, 1)},
        {DecodeCounts(stratum.at(2)), DecodeCounts(stratum.at(3))});
  }
  return sums;
}

std::optional<neighbor_role> DecodeRole(int number) {
  switch (number) {
    case static_cast<int>(neighbor_role::parent):
      return neighbor_role::parent;
    case static_cast<int>(neighbor_role::child):
      return neighbor_role::child;
    case static_cast<int>(neighbor_role::root):
      return neighbor_role::root;
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string EncodePeerReport(const peer_report& report) {
  json loads = json::array();
  for (const target_load& load : report.loads) {
    json load_fields =
        json::array({load.target.text(), load.runs, load.tokens,
                     load.pending_prefill_tokens, load.failing_instances});
    if (load.recent_refusals != 0 || load.brittle_instances != 0) {
      load_fields.push_back(load.recent_refusals);
      load_fields.push_back(load.brittle_instances);
    }
    loads.push_back(std::move(load_fields));
  }
  json crashes = json::array();
  for (const crash_notice& notice : report.crashes) {
    json fields =
        json::array({notice.subject, notice.target ? notice.target->text() : "",
                     notice.age.count()});
    if (!notice.prompt_parts.empty())
      fields.push_back(notice.prompt_parts);
    crashes.push_back(std::move(fields));
  }
  json fields = json::array({kFormat, report.instance, report.started_at,
                             report.sequence_number,
                             static_cast<int>(report.receiver_role),
                             report.detaches, loads, crashes});
  if (!report.rollouts.empty()) {
    json rollouts = json::array();
    for (const rollout_sums& sums : report.rollouts)
      rollouts.push_back(EncodeRollout(sums));
    fields.push_back(std::move(rollouts));
  }
  const auto bytes = json::to_msgpack(fields);
  return {bytes.begin(), bytes.end()};
}

std::optional<peer_report> DecodePeerReport(std::string_view bytes) {
  try {
    const json fields = json::from_msgpack(bytes.begin(), bytes.end());
    if (fields.at(0).get<int>() != kFormat)
      return std::nullopt;
    peer_report report;
    report.instance = fields.at(1).get<std::string>();
    report.started_at = fields.at(2).get<std::int64_t>();
    report.sequence_number = fields.at(3).get<std::uint64_t>();
    const auto role = DecodeRole(fields.at(4).get<int>());
    if (!role)
      return std::nullopt;
    report.receiver_role = *role;
    report.detaches = fields.at(5).get<bool>();
    for (const json& load : fields.at(6)) {
      report.loads.push_back(DecodeLoad(load));
    }
    for (const json& crash_fields : fields.at(7))
      report.crashes.push_back(DecodeCrash(crash_fields));
    // Instances of earlier versions ignore this field.
    if (fields.size() > kRolloutsField) {
      for (const json& rollout : fields.at(kRolloutsField)) {
        if (report.rollouts.size() < kMaxReportedRollouts)
          report.rollouts.push_back(DecodeRollout(rollout));
      }
    }
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}  // namespace wist
