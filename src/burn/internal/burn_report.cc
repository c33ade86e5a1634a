#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "burn/burn_module.h"
#include "burn/internal/objective_lookup.h"

namespace wist {
namespace {

constexpr double kBarWidthPixels = 240;
constexpr double kFullBarBurnRate = 4;

// Returns the fraction of observations that missed the objective, divided by
// the fraction that may miss it.
double BurnRate(double total, double in_time, const objective_spec& objective) {
  if (total <= 0)
    return 0;
  const double allowed_fraction =
      std::max(1e-3, 1 - objective.good_permille / 1000.0);
  return std::max(0.0, total - in_time) / total / allowed_fraction;
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '<')
      escaped += "&lt;";
    else if (character == '&')
      escaped += "&amp;";
    else
      escaped.push_back(character);
  }
  return escaped;
}

std::string BurnBarSvg(double burn_rate) {
  const double width =
      std::min(1.0, burn_rate / kFullBarBurnRate) * kBarWidthPixels;
  const char* color = burn_rate > 1 ? "#b3261e" : "#2e7d32";
  return fmt::format(
      "<svg width=\"{0:.0f}\" height=\"12\"><rect width=\"{1:.1f}\" "
      "height=\"12\" fill=\"{2}\"/><line x1=\"{3:.0f}\" x2=\"{3:.0f}\" "
      "y1=\"0\" y2=\"12\" stroke=\"#000\"/></svg> {4:.2f}",
      kBarWidthPixels, width, color, kBarWidthPixels / kFullBarBurnRate,
      burn_rate);
}

}  // namespace

std::vector<burn_row> BurnRows(const burn_sample& before,
                               const burn_sample& after,
                               const std::vector<service_spec>& services,
                               std::int64_t window_seconds) {
  std::vector<burn_row> rows;
  for (const auto& [subject, current] : after) {
    const auto found = before.find(subject);
    const burn_counts previous =
        found == before.end() ? burn_counts{} : found->second;
    const objective_spec objective = FindObjective(services, subject.service);
    burn_row row;
    row.subject = subject;
    row.window_seconds = window_seconds;
    row.first_token_burn =
        BurnRate(current.first_tokens - previous.first_tokens,
                 current.first_tokens_in_time - previous.first_tokens_in_time,
                 objective);
    row.between_tokens_burn =
        BurnRate(current.gaps - previous.gaps,
                 current.gaps_in_time - previous.gaps_in_time, objective);
    const double requests = current.requests - previous.requests;
    row.refusal_part =
        requests > 0 ? (current.refusals - previous.refusals) / requests : 0;
    row.stall_seconds = current.stall_seconds - previous.stall_seconds;
    row.observations = current.gaps - previous.gaps;
    rows.push_back(row);
  }
  return rows;
}

std::string BurnTable(const std::vector<burn_row>& rows) {
  std::string table =
      fmt::format("{:<16} {:<20} {:<12} {:>7} {:>11} {:>11} {:>8} {:>8}\n",
                  "service", "workspace", "domain", "window", "first burn",
                  "gap burn", "refused", "stall s");
  for (const burn_row& row : rows) {
    table += fmt::format(
        "{:<16} {:<20} {:<12} {:>6}s {:>11.2f} {:>11.2f} {:>7.1f}% {:>8.1f}\n",
        row.subject.service, row.subject.workspace, row.subject.domain,
        row.window_seconds, row.first_token_burn, row.between_tokens_burn,
        row.refusal_part * 100, row.stall_seconds);
  }
  return table;
}

std::string BurnJson(const std::vector<burn_row>& rows) {
  nlohmann::json list = nlohmann::json::array();
  for (const burn_row& row : rows) {
    list.push_back({{"service", row.subject.service},
                    {"workspace", row.subject.workspace},
                    {"domain", row.subject.domain},
                    {"window_seconds", row.window_seconds},
                    {"first_token_burn", row.first_token_burn},
                    {"between_tokens_burn", row.between_tokens_burn},
                    {"refusal_part", row.refusal_part},
                    {"stall_seconds", row.stall_seconds},
                    {"observations", row.observations}});
  }
  return list.dump(2);
}

std::string BurnHtml(const std::vector<burn_row>& rows) {
  std::string page =
      "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>Service-level "
      "burn</title><style>body{font-family:sans-serif}td,th{padding:2px 10px;"
      "text-align:left}</style></head><body><h1>Service-level burn</h1><p>A "
      "burn above 1 misses the objective; the line in each bar marks 1.</p>"
      "<table><tr><th>service</th><th>workspace</th><th>failure domain</th>"
      "<th>window</th><th>first token</th><th>between tokens</th>"
      "<th>refused</th><th>stall</th></tr>";
  for (const burn_row& row : rows) {
    page += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{} s</td><td>{}</td>"
        "<td>{}</td><td>{:.1f}%</td><td>{:.1f} s</td></tr>",
        EscapeHtml(row.subject.service), EscapeHtml(row.subject.workspace),
        EscapeHtml(row.subject.domain), row.window_seconds,
        BurnBarSvg(row.first_token_burn), BurnBarSvg(row.between_tokens_burn),
        row.refusal_part * 100, row.stall_seconds);
  }
  return page + "</table></body></html>\n";
}

}  // namespace wist
