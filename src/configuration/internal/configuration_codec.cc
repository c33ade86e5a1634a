#include <algorithm>
#include <nlohmann/json.hpp>

#include "configuration/configuration_text.h"
#include "framework/base/hashing.h"

namespace wist {
namespace {

using json = nlohmann::json;

constexpr char kIn[] = "in";
constexpr char kOut[] = "out";
constexpr char kActive[] = "active";
constexpr char kLeaving[] = "leaving";
constexpr char kGeneration[] = "generation";
constexpr char kPlain[] = "plain";

template <typename Value>
Value ReadField(const json& object, const char* name, const std::string& path) {
  if (!object.is_object() || !object.contains(name))
    throw configuration_parse_error(path + "." + name + ": missing");
  try {
    return object.at(name).get<Value>();
  } catch (const json::exception&) {
    throw configuration_parse_error(path + "." + name + ": wrong type");
  }
}

// Reads a string that must be `first` or `second` as the enumerator with the
// value 0 or 1.
template <typename Enum>
Enum ReadEnum(const json& object,
              const char* name,
              const char* first,
              const char* second,
              const std::string& path) {
  const auto text = ReadField<std::string>(object, name, path);
  if (text == first)
    return static_cast<Enum>(0);
  if (text == second)
    return static_cast<Enum>(1);
  throw configuration_parse_error(path + "." + name + ": '" + text +
                                  "' is neither '" + first + "' nor '" +
                                  second + "'");
}

json ToJson(const domain_spec& domain) {
  return {{"id", domain.id.text()},
          {"region", domain.region},
          {"state", domain.state == domain_state::in ? kIn : kOut},
          {"max_entry_instances", domain.max_entry_instances}};
}

json ToJson(const target_spec& target) {
  return {
      {"id", target.id.text()},
      {"domain", target.domain.text()},
      {"kind", target.kind == service_kind::generation ? kGeneration : kPlain},
      {"host", target.host},
      {"port", target.port},
      {"state", target.state == target_state::active ? kActive : kLeaving},
      {"checks_fencing", target.checks_fencing},
      {"cold_bearable_requests", target.cold_bearable_requests},
      {"memory_tokens", target.memory_tokens}};
}

json ToJson(const workspace_spec& workspace) {
  return {{"id", workspace.id.text()},
          {"share_permille", workspace.share_permille},
          {"max_requests_per_minute", workspace.max_requests_per_minute},
          {"priority", workspace.priority}};
}

json ToJson(const service_spec& service) {
  return {
      {"id", service.id.text()},
      {"kind", service.kind == service_kind::generation ? kGeneration : kPlain},
      {"model", service.model},
      {"repeatable", service.repeatable},
      {"objective",
       {{"first_token_ms", service.objective.first_token_ms},
        {"between_tokens_ms", service.objective.between_tokens_ms},
        {"good_permille", service.objective.good_permille}}}};
}

json ToJson(const rule_spec& rule) {
  json targets = json::array();
  for (const target_id& target : rule.targets)
    targets.push_back(target.text());
  return {{"workspace", rule.workspace.text()},
          {"service", rule.service.text()},
          {"targets", std::move(targets)}};
}

template <typename Spec>
json ToJsonList(const std::vector<Spec>& specs) {
  json list = json::array();
  for (const Spec& spec : specs)
    list.push_back(ToJson(spec));
  return list;
}

json ToJson(const configuration_body& body) {
  return {{"domains", ToJsonList(body.domains)},
          {"targets", ToJsonList(body.targets)},
          {"workspaces", ToJsonList(body.workspaces)},
          {"services", ToJsonList(body.services)},
          {"rules", ToJsonList(body.rules)}};
}

domain_spec ReadDomain(const json& object, const std::string& path) {
  domain_spec domain;
  domain.id = domain_id(ReadField<std::string>(object, "id", path));
  domain.region = ReadField<std::string>(object, "region", path);
  domain.state = ReadEnum<domain_state>(object, "state", kIn, kOut, path);
  domain.max_entry_instances =
      ReadField<std::int32_t>(object, "max_entry_instances", path);
  return domain;
}

target_spec ReadTarget(const json& object, const std::string& path) {
  target_spec target;
  target.id = target_id(ReadField<std::string>(object, "id", path));
  target.domain = domain_id(ReadField<std::string>(object, "domain", path));
  target.kind =
      ReadEnum<service_kind>(object, "kind", kGeneration, kPlain, path);
  target.host = ReadField<std::string>(object, "host", path);
  const auto port = ReadField<std::int64_t>(object, "port", path);
  if (port < 0 || port > 65535)
    throw configuration_parse_error(path + ".port: not between 0 and 65535");
  target.port = static_cast<std::uint16_t>(port);
  target.state =
      ReadEnum<target_state>(object, "state", kActive, kLeaving, path);
  target.checks_fencing = ReadField<bool>(object, "checks_fencing", path);
  target.cold_bearable_requests =
      ReadField<std::int32_t>(object, "cold_bearable_requests", path);
  target.memory_tokens = ReadField<std::int64_t>(object, "memory_tokens", path);
  return target;
}

workspace_spec ReadWorkspace(const json& object, const std::string& path) {
  workspace_spec workspace;
  workspace.id = workspace_id(ReadField<std::string>(object, "id", path));
  workspace.share_permille =
      ReadField<std::int32_t>(object, "share_permille", path);
  workspace.max_requests_per_minute =
      ReadField<std::int32_t>(object, "max_requests_per_minute", path);
  workspace.priority = ReadField<std::int32_t>(object, "priority", path);
  return workspace;
}

service_spec ReadService(const json& object, const std::string& path) {
  service_spec service;
  service.id = service_id(ReadField<std::string>(object, "id", path));
  service.kind =
      ReadEnum<service_kind>(object, "kind", kGeneration, kPlain, path);
  service.model = ReadField<std::string>(object, "model", path);
  service.repeatable = ReadField<bool>(object, "repeatable", path);
  const json objective = ReadField<json>(object, "objective", path);
  const std::string objective_path = path + ".objective";
  service.objective.first_token_ms =
      ReadField<std::int32_t>(objective, "first_token_ms", objective_path);
  service.objective.between_tokens_ms =
      ReadField<std::int32_t>(objective, "between_tokens_ms", objective_path);
  service.objective.good_permille =
      ReadField<std::int32_t>(objective, "good_permille", objective_path);
  return service;
}

rule_spec ReadRule(const json& object, const std::string& path) {
  rule_spec rule;
  rule.workspace =
      workspace_id(ReadField<std::string>(object, "workspace", path));
  rule.service = service_id(ReadField<std::string>(object, "service", path));
  for (const auto& target :
       ReadField<std::vector<std::string>>(object, "targets", path))
    rule.targets.emplace_back(target);
  return rule;
}

template <typename Spec, typename Reader>
std::vector<Spec> ReadList(const json& object,
                           const std::string& name,
                           Reader reader) {
  const json list = ReadField<json>(object, name.c_str(), "configuration");
  if (!list.is_array())
    throw configuration_parse_error(name + ": not an array");
  std::vector<Spec> specs;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string path = name + "[" + std::to_string(i) + "]";
    specs.push_back(reader(list[i], path));
  }
  return specs;
}

configuration_body ReadBody(const json& object) {
  configuration_body body;
  body.domains = ReadList<domain_spec>(object, "domains", ReadDomain);
  body.targets = ReadList<target_spec>(object, "targets", ReadTarget);
  body.workspaces =
      ReadList<workspace_spec>(object, "workspaces", ReadWorkspace);
  body.services = ReadList<service_spec>(object, "services", ReadService);
  body.rules = ReadList<rule_spec>(object, "rules", ReadRule);
  return body;
}

change_record ReadChange(const json& object, const std::string& path) {
  change_record change;
  change.version = ReadField<std::int64_t>(object, "version", path);
  change.change_id = ReadField<std::string>(object, "change_id", path);
  change.author = ReadField<std::string>(object, "author", path);
  change.digest = ReadField<std::string>(object, "digest", path);
  return change;
}

json ParseJson(const std::string& text) {
  json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded())
    throw configuration_parse_error("configuration: invalid JSON");
  return parsed;
}

template <typename Spec>
void SortById(std::vector<Spec>& specs) {
  std::sort(specs.begin(), specs.end(),
            [](const Spec& a, const Spec& b) { return a.id < b.id; });
}

}  // namespace

configuration_body Canonicalize(configuration_body body) {
  SortById(body.domains);
  SortById(body.targets);
  SortById(body.workspaces);
  SortById(body.services);
  for (rule_spec& rule : body.rules)
    std::sort(rule.targets.begin(), rule.targets.end());
  std::sort(body.rules.begin(), body.rules.end());
  return body;
}

std::string CanonicalText(const configuration_body& body) {
  return ToJson(Canonicalize(body)).dump(2);
}

std::string BodyDigest(const configuration_body& body) {
  return Sha256Hex(CanonicalText(body));
}

std::string EncodeDocument(const configuration_document& document) {
  json history = json::array();
  for (const change_record& change : document.history) {
    history.push_back({{"version", change.version},
                       {"change_id", change.change_id},
                       {"author", change.author},
                       {"digest", change.digest}});
  }
  const json object = {{"version", document.version},
                       {"change_id", document.change_id},
                       {"author", document.author},
                       {"history", std::move(history)},
                       {"body", ToJson(Canonicalize(document.body))}};
  return object.dump();
}

configuration_document DecodeDocument(const std::string& text) {
  const json object = ParseJson(text);
  configuration_document document;
  document.version = ReadField<std::int64_t>(object, "version", "document");
  document.change_id = ReadField<std::string>(object, "change_id", "document");
  document.author = ReadField<std::string>(object, "author", "document");
  document.history = ReadList<change_record>(object, "history", ReadChange);
  document.body = ReadBody(ReadField<json>(object, "body", "document"));
  return document;
}

configuration_body DecodeBody(const std::string& text) {
  return ReadBody(ParseJson(text));
}

}  // namespace wist
