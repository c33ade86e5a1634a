#include <map>
#include <optional>
#include <sstream>

#include "burn/burn_module.h"
#include "burn/internal/objective_lookup.h"

namespace wist {
namespace {

// One line of the Prometheus text format.
struct metric_line {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

// Parses `key="value"` pairs. The label values of this software contain no
// quotes, so escapes are not handled.
std::map<std::string, std::string> ParseLabels(const std::string& text) {
  std::map<std::string, std::string> labels;
  std::size_t position = 0;
  while (position < text.size()) {
    const std::size_t equal = text.find("=\"", position);
    if (equal == std::string::npos)
      break;
    const std::size_t end = text.find('"', equal + 2);
    if (end == std::string::npos)
      break;
    labels[text.substr(position, equal - position)] =
        text.substr(equal + 2, end - equal - 2);
    position = end + 1;
    if (position < text.size() && text[position] == ',')
      ++position;
  }
  return labels;
}

std::optional<metric_line> ParseLine(const std::string& text) {
  if (text.empty() || text[0] == '#')
    return std::nullopt;
  metric_line line;
  const std::size_t space = text.rfind(' ');
  if (space == std::string::npos)
    return std::nullopt;
  std::istringstream(text.substr(space + 1)) >> line.value;
  const std::size_t brace = text.find('{');
  if (brace == std::string::npos) {
    line.name = text.substr(0, space);
    return line;
  }
  const std::size_t close = text.rfind('}');
  if (close == std::string::npos || close < brace)
    return std::nullopt;
  line.name = text.substr(0, brace);
  line.labels = ParseLabels(text.substr(brace + 1, close - brace - 1));
  return line;
}

// Selects the bucket with the highest bound that does not exceed the limit, and
// keeps its count.
class bucket_selector {
 public:
  void Consider(const metric_line& line, double limit_seconds) {
    const auto bound = line.labels.find("le");
    if (bound == line.labels.end() || bound->second == "+Inf")
      return;
    const double value = std::stod(bound->second);
    if (value > limit_seconds + 1e-9 || value < highest_bound_)
      return;
    highest_bound_ = value;
    count_ = line.value;
  }
  double count() const { return count_; }

 private:
  double highest_bound_ = -1;
  double count_ = 0;
};

}  // namespace

void AddMetrics(const std::string& metrics_text,
                const std::vector<service_spec>& services,
                burn_sample& sample) {
  std::map<burn_subject, bucket_selector> first_token_buckets;
  std::map<burn_subject, bucket_selector> gap_buckets;
  std::istringstream stream(metrics_text);
  for (std::string text; std::getline(stream, text);) {
    const auto line = ParseLine(text);
    if (!line || !line->labels.contains("workspace"))
      continue;
    const burn_subject subject{line->labels.at("service"),
                               line->labels.at("workspace"),
                               line->labels.at("domain")};
    if (subject.service.empty())
      continue;
    const objective_spec objective = FindObjective(services, subject.service);
    burn_counts& counts = sample[subject];
    if (line->name == "wisteriatally_requests_total")
      counts.requests += line->value;
    else if (line->name == "wisteriatally_refusals_total")
      counts.refusals += line->value;
    else if (line->name == "wisteriatally_stall_seconds_total")
      counts.stall_seconds += line->value;
    else if (line->name == "wisteriatally_first_token_seconds_count")
      counts.first_tokens += line->value;
    else if (line->name == "wisteriatally_between_tokens_seconds_count")
      counts.gaps += line->value;
    else if (line->name == "wisteriatally_first_token_seconds_bucket")
      first_token_buckets[subject].Consider(*line,
                                            objective.first_token_ms / 1000.0);
    else if (line->name == "wisteriatally_between_tokens_seconds_bucket")
      gap_buckets[subject].Consider(*line,
                                    objective.between_tokens_ms / 1000.0);
  }
  for (const auto& [subject, bucket] : first_token_buckets)
    sample[subject].first_tokens_in_time += bucket.count();
  for (const auto& [subject, bucket] : gap_buckets)
    sample[subject].gaps_in_time += bucket.count();
}

}  // namespace wist
