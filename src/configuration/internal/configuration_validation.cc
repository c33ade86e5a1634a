#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <sstream>

#include "configuration/configuration_text.h"

namespace wist {
namespace {

constexpr std::int32_t kMaxPermille = 1000;
constexpr char kAnyWorkspace[] = "*";

class validator {
 public:
  explicit validator(const configuration_body& body) : body_(body) {}

  std::vector<configuration_error> Run() {
    CheckIds("domains", body_.domains, domains_);
    CheckIds("targets", body_.targets, targets_);
    CheckIds("workspaces", body_.workspaces, workspaces_);
    CheckIds("services", body_.services, services_);
    CheckDomains();
    CheckTargets();
    CheckWorkspaces();
    CheckServices();
    CheckRules();
    CheckSize();
    return std::move(errors_);
  }

 private:
  template <typename Spec, typename Id>
  void CheckIds(const std::string& list,
                const std::vector<Spec>& specs,
                std::set<Id>& ids) {
    for (const Spec& spec : specs) {
      if (spec.id.empty())
        AddError(list, "an entry has no id");
      else if (!ids.insert(spec.id).second)
        AddError(list + "." + spec.id.text(), "duplicate id");
    }
  }

  void CheckDomains() {
    for (const domain_spec& domain : body_.domains) {
      if (domain.max_entry_instances < 1)
        AddError("domains." + domain.id.text(),
                 "max_entry_instances is less than 1");
    }
  }

  void CheckTargets() {
    for (const target_spec& target : body_.targets) {
      const std::string path = "targets." + target.id.text();
      if (!domains_.contains(target.domain))
        AddError(path, "unknown failure domain '" + target.domain.text() + "'");
      if (target.host.empty() || target.port == 0)
        AddError(path, "host or port is missing");
      if (target.cold_bearable_requests < 1)
        AddError(path, "cold_bearable_requests is less than 1");
      if (target.kind == service_kind::generation && target.memory_tokens < 1)
        AddError(path, "memory_tokens is less than 1");
    }
  }

  void CheckWorkspaces() {
    std::int64_t sum = 0;
    for (const workspace_spec& workspace : body_.workspaces) {
      const std::string path = "workspaces." + workspace.id.text();
      if (workspace.id.text() == kAnyWorkspace)
        AddError(path, "the id '*' is reserved");
      if (workspace.share_permille < 0)
        AddError(path, "share_permille is negative");
      if (workspace.max_requests_per_minute < 1)
        AddError(path, "max_requests_per_minute is less than 1");
      sum += workspace.share_permille;
    }
    if (sum > kMaxPermille)
      AddError(
          "workspaces",
          fmt::format(
              "the sum of share_permille is {}, above the limit of 1000", sum));
  }

  void CheckServices() {
    for (const service_spec& service : body_.services) {
      const objective_spec& objective = service.objective;
      if (objective.first_token_ms < 1 || objective.between_tokens_ms < 1 ||
          objective.good_permille < 1 || objective.good_permille > kMaxPermille)
        AddError("services." + service.id.text(),
                 "first_token_ms or between_tokens_ms is less than 1, or "
                 "good_permille is not between 1 and 1000");
      if (service.kind == service_kind::generation && !service.repeatable)
        AddError("services." + service.id.text(),
                 "a generation service must be repeatable");
    }
  }

  void CheckRules() {
    std::set<std::pair<workspace_id, service_id>> bound_pairs;
    for (const rule_spec& rule : body_.rules) {
      const std::string path = fmt::format("rules.{}/{}", rule.workspace.text(),
                                           rule.service.text());
      if (rule.workspace.text() != kAnyWorkspace &&
          !workspaces_.contains(rule.workspace))
        AddError(path, "unknown workspace");
      if (!services_.contains(rule.service))
        AddError(path, "unknown service");
      if (!bound_pairs.insert({rule.workspace, rule.service}).second)
        AddError(path, "duplicate rule for this workspace and service");
      CheckRuleTargets(rule, path);
    }
  }

  void CheckRuleTargets(const rule_spec& rule, const std::string& path) {
    if (rule.targets.empty())
      AddError(path, "the rule has no target");
    std::set<target_id> seen;
    for (const target_id& id : rule.targets) {
      if (!seen.insert(id).second)
        AddError(path, "target '" + id.text() + "' is listed more than once");
      const target_spec* target = FindTarget(id);
      const service_spec* service = FindService(rule.service);
      if (!target)
        AddError(path, "unknown target '" + id.text() + "'");
      else if (service && target->kind != service->kind)
        AddError(path, "target '" + id.text() +
                           "' is not of the same kind as the service");
    }
  }

  void CheckSize() {
    const std::size_t size = CanonicalText(body_).size();
    if (size > kMaxDocumentBytes)
      AddError(
          "configuration",
          fmt::format(
              "the canonical text has {} bytes, above the store's limit of {}",
              size, kMaxDocumentBytes));
  }

  const target_spec* FindTarget(const target_id& id) const {
    const auto found =
        std::find_if(body_.targets.begin(), body_.targets.end(),
                     [&](const target_spec& t) { return t.id == id; });
    return found == body_.targets.end() ? nullptr : &*found;
  }

  const service_spec* FindService(const service_id& id) const {
    const auto found =
        std::find_if(body_.services.begin(), body_.services.end(),
                     [&](const service_spec& s) { return s.id == id; });
    return found == body_.services.end() ? nullptr : &*found;
  }

  void AddError(const std::string& path, const std::string& message) {
    errors_.push_back({path, message});
  }

  const configuration_body& body_;
  std::set<domain_id> domains_;
  std::set<target_id> targets_;
  std::set<workspace_id> workspaces_;
  std::set<service_id> services_;
  std::vector<configuration_error> errors_;
};

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);)
    lines.push_back(line);
  return lines;
}

// Returns, for each pair of positions, the length of the longest common
// subsequence of the lines from there on.
std::vector<std::vector<std::uint32_t>> SuffixLcsLengths(
    const std::vector<std::string>& a,
    const std::vector<std::string>& b) {
  std::vector<std::vector<std::uint32_t>> length(
      a.size() + 1, std::vector<std::uint32_t>(b.size() + 1, 0));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      length[i][j] = a[i] == b[j]
                         ? length[i + 1][j + 1] + 1
                         : std::max(length[i + 1][j], length[i][j + 1]);
    }
  }
  return length;
}

}  // namespace

std::vector<configuration_error> Validate(const configuration_body& body) {
  return validator(body).Run();
}

std::vector<std::string> DifferenceLines(const configuration_body& from,
                                         const configuration_body& to) {
  std::vector<std::string> a = SplitLines(CanonicalText(from));
  std::vector<std::string> b = SplitLines(CanonicalText(to));
  // The common prefix and suffix are removed first, because the size of the
  // table below is quadratic in the number of remaining lines.
  while (!a.empty() && !b.empty() && a.back() == b.back()) {
    a.pop_back();
    b.pop_back();
  }
  std::size_t start = 0;
  while (start < a.size() && start < b.size() && a[start] == b[start])
    ++start;
  a.erase(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(start));
  b.erase(b.begin(), b.begin() + static_cast<std::ptrdiff_t>(start));

  const auto lcs_lengths = SuffixLcsLengths(a, b);
  std::vector<std::string> difference;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      ++i;
      ++j;
    } else if (j == b.size() || (i < a.size() && lcs_lengths[i + 1][j] >=
                                                     lcs_lengths[i][j + 1])) {
      difference.push_back("-" + a[i++]);
    } else {
      difference.push_back("+" + b[j++]);
    }
  }
  return difference;
}

}  // namespace wist
