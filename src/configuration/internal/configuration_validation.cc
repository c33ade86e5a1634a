#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <sstream>

#include "configuration/configuration_text.h"

namespace wist {
namespace {

constexpr std::int32_t kAllShares = 1000;
constexpr char kAnyWorkspace[] = "*";

class validator {
 public:
  explicit validator(const configuration_body& body) : body_(body) {}

  std::vector<configuration_fault> Run() {
    CheckNames("domains", body_.domains, domains_);
    CheckNames("targets", body_.targets, targets_);
    CheckNames("workspaces", body_.workspaces, workspaces_);
    CheckNames("services", body_.services, services_);
    CheckDomains();
    CheckTargets();
    CheckWorkspaces();
    CheckServices();
    CheckRules();
    CheckSize();
    return std::move(faults_);
  }

 private:
  template <typename Spec, typename Id>
  void CheckNames(const std::string& list,
                  const std::vector<Spec>& specs,
                  std::set<Id>& names) {
    for (const Spec& spec : specs) {
      if (spec.id.empty())
        Add(list, "an entry has no id");
      else if (!names.insert(spec.id).second)
        Add(list + "." + spec.id.text(), "the name stands twice");
    }
  }

  void CheckDomains() {
    for (const domain_spec& domain : body_.domains) {
      if (domain.max_entry_instances < 1)
        Add("domains." + domain.id.text(),
            "max_entry_instances is less than 1");
    }
  }

  void CheckTargets() {
    for (const target_spec& target : body_.targets) {
      const std::string place = "targets." + target.id.text();
      if (!domains_.contains(target.domain))
        Add(place, "unknown failure domain '" + target.domain.text() + "'");
      if (target.host.empty() || target.port == 0)
        Add(place, "host or port is missing");
      if (target.cold_bearable_requests < 1)
        Add(place, "cold_bearable_requests is less than 1");
      if (target.kind == service_kind::generation && target.memory_tokens < 1)
        Add(place, "memory_tokens is less than 1");
    }
  }

  void CheckWorkspaces() {
    std::int64_t sum = 0;
    for (const workspace_spec& workspace : body_.workspaces) {
      const std::string place = "workspaces." + workspace.id.text();
      if (workspace.id.text() == kAnyWorkspace)
        Add(place, "the name is reserved");
      if (workspace.share_permille < 0)
        Add(place, "share_permille is negative");
      if (workspace.max_requests_per_minute < 1)
        Add(place, "max_requests_per_minute is less than 1");
      sum += workspace.share_permille;
    }
    if (sum > kAllShares)
      Add("workspaces",
          fmt::format("the shares sum to {} thousandths, over 1000", sum));
  }

  void CheckServices() {
    for (const service_spec& service : body_.services) {
      const objective_spec& objective = service.objective;
      if (objective.first_token_ms < 1 || objective.between_tokens_ms < 1 ||
          objective.good_permille < 1 || objective.good_permille > kAllShares)
        Add("services." + service.id.text(),
            "an objective is out of its range");
      if (service.kind == service_kind::generation && !service.repeatable)
        Add("services." + service.id.text(),
            "a generation service is always repeatable");
    }
  }

  void CheckRules() {
    std::set<std::pair<workspace_id, service_id>> bound;
    for (const rule_spec& rule : body_.rules) {
      const std::string place = fmt::format(
          "rules.{}/{}", rule.workspace.text(), rule.service.text());
      if (rule.workspace.text() != kAnyWorkspace &&
          !workspaces_.contains(rule.workspace))
        Add(place, "unknown workspace");
      if (!services_.contains(rule.service))
        Add(place, "unknown service");
      if (!bound.insert({rule.workspace, rule.service}).second)
        Add(place, "the rule stands twice");
      CheckRuleTargets(rule, place);
    }
  }

  void CheckRuleTargets(const rule_spec& rule, const std::string& place) {
    if (rule.targets.empty())
      Add(place, "binds to no target");
    std::set<target_id> seen;
    for (const target_id& id : rule.targets) {
      if (!seen.insert(id).second)
        Add(place, "names target '" + id.text() + "' twice");
      const target_spec* target = FindTarget(id);
      const service_spec* service = FindService(rule.service);
      if (!target)
        Add(place, "unknown target '" + id.text() + "'");
      else if (service && target->kind != service->kind)
        Add(place, "target '" + id.text() + "' is of another kind");
    }
  }

  void CheckSize() {
    const std::size_t size = CanonicalText(body_).size();
    if (size > kMaxDocumentBytes)
      Add("configuration", fmt::format("{} bytes, over the store's {}", size,
                                       kMaxDocumentBytes));
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

  void Add(const std::string& place, const std::string& text) {
    faults_.push_back({place, text});
  }

  const configuration_body& body_;
  std::set<domain_id> domains_;
  std::set<target_id> targets_;
  std::set<workspace_id> workspaces_;
  std::set<service_id> services_;
  std::vector<configuration_fault> faults_;
};

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);)
    lines.push_back(line);
  return lines;
}

// Returns the length of the longest common subsequence from every pair of
// positions on.
std::vector<std::vector<std::uint32_t>> CommonLengths(
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

std::vector<configuration_fault> Validate(const configuration_body& body) {
  return validator(body).Run();
}

std::vector<std::string> DifferenceLines(const configuration_body& from,
                                         const configuration_body& to) {
  std::vector<std::string> a = Lines(CanonicalText(from));
  std::vector<std::string> b = Lines(CanonicalText(to));
  // Equal ends are cut off first: the table below is quadratic in the rest.
  while (!a.empty() && !b.empty() && a.back() == b.back()) {
    a.pop_back();
    b.pop_back();
  }
  std::size_t start = 0;
  while (start < a.size() && start < b.size() && a[start] == b[start])
    ++start;
  a.erase(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(start));
  b.erase(b.begin(), b.begin() + static_cast<std::ptrdiff_t>(start));

  const auto common = CommonLengths(a, b);
  std::vector<std::string> difference;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
      difference.push_back("-" + a[i++]);
    } else {
      difference.push_back("+" + b[j++]);
    }
  }
  return difference;
}

}  // namespace wist
