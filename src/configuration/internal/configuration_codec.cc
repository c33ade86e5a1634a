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
Value Read(const json& object, const char* name, const std::string& place) {
  if (!object.is_object() || !object.contains(name))
    throw configuration_parse_error(place + "." + name + ": missing");
  try {
    return object.at(name).get<Value>();
  } catch (const json::exception&) {
    throw configuration_parse_error(place + "." + name + ": wrong type");
  }
}

// Reads a name that has to be one of two, as an enum of two values.
template <typename Enum>
Enum ReadChoice(const json& object,
                const char* name,
                const char* first,
                const char* second,
                const std::string& place) {
  const auto text = Read<std::string>(object, name, place);
  if (text == first)
    return static_cast<Enum>(0);
  if (text == second)
    return static_cast<Enum>(1);
  throw configuration_parse_error(place + "." + name + ": '" + text +
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

domain_spec ReadDomain(const json& object, const std::string& place) {
  domain_spec domain;
  domain.id = domain_id(Read<std::string>(object, "id", place));
  domain.region = Read<std::string>(object, "region", place);
  domain.state = ReadChoice<domain_state>(object, "state", kIn, kOut, place);
  domain.max_entry_instances =
      Read<std::int32_t>(object, "max_entry_instances", place);
  return domain;
}

target_spec ReadTarget(const json& object, const std::string& place) {
  target_spec target;
  target.id = target_id(Read<std::string>(object, "id", place));
  target.domain = domain_id(Read<std::string>(object, "domain", place));
  target.kind =
      ReadChoice<service_kind>(object, "kind", kGeneration, kPlain, place);
  target.host = Read<std::string>(object, "host", place);
  const auto port = Read<std::int64_t>(object, "port", place);
  if (port < 0 || port > 65535)
    throw configuration_parse_error(place + ".port: not a port number");
  target.port = static_cast<std::uint16_t>(port);
  target.state =
      ReadChoice<target_state>(object, "state", kActive, kLeaving, place);
  target.checks_fencing = Read<bool>(object, "checks_fencing", place);
  target.cold_bearable_requests =
      Read<std::int32_t>(object, "cold_bearable_requests", place);
  target.memory_tokens = Read<std::int64_t>(object, "memory_tokens", place);
  return target;
}

workspace_spec ReadWorkspace(const json& object, const std::string& place) {
  workspace_spec workspace;
  workspace.id = workspace_id(Read<std::string>(object, "id", place));
  workspace.share_permille =
      Read<std::int32_t>(object, "share_permille", place);
  workspace.max_requests_per_minute =
      Read<std::int32_t>(object, "max_requests_per_minute", place);
  workspace.priority = Read<std::int32_t>(object, "priority", place);
  return workspace;
}

service_spec ReadService(const json& object, const std::string& place) {
  service_spec service;
  service.id = service_id(Read<std::string>(object, "id", place));
  service.kind =
      ReadChoice<service_kind>(object, "kind", kGeneration, kPlain, place);
  service.model = Read<std::string>(object, "model", place);
  service.repeatable = Read<bool>(object, "repeatable", place);
  const json objective = Read<json>(object, "objective", place);
  const std::string inner = place + ".objective";
  service.objective.first_token_ms =
      Read<std::int32_t>(objective, "first_token_ms", inner);
  service.objective.between_tokens_ms =
      Read<std::int32_t>(objective, "between_tokens_ms", inner);
  service.objective.good_permille =
      Read<std::int32_t>(objective, "good_permille", inner);
  return service;
}

rule_spec ReadRule(const json& object, const std::string& place) {
  rule_spec rule;
  rule.workspace = workspace_id(Read<std::string>(object, "workspace", place));
  rule.service = service_id(Read<std::string>(object, "service", place));
  for (const auto& target :
       Read<std::vector<std::string>>(object, "targets", place))
    rule.targets.emplace_back(target);
  return rule;
}

template <typename Spec, typename Reader>
std::vector<Spec> ReadList(const json& object,
                           const std::string& name,
                           Reader reader) {
  const json list = Read<json>(object, name.c_str(), "configuration");
  if (!list.is_array())
    throw configuration_parse_error(name + ": not a list");
  std::vector<Spec> specs;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string place = name + "[" + std::to_string(i) + "]";
    specs.push_back(reader(list[i], place));
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

change_record ReadChange(const json& object, const std::string& place) {
  change_record change;
  change.version = Read<std::int64_t>(object, "version", place);
  change.change_id = Read<std::string>(object, "change_id", place);
  change.author = Read<std::string>(object, "author", place);
  change.digest = Read<std::string>(object, "digest", place);
  return change;
}

json ParseJson(const std::string& text) {
  json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded())
    throw configuration_parse_error("configuration: not JSON");
  return parsed;
}

template <typename Spec>
void SortById(std::vector<Spec>& specs) {
  std::sort(specs.begin(), specs.end(),
            [](const Spec& a, const Spec& b) { return a.id < b.id; });
}

}  // namespace

configuration_body Canonical(configuration_body body) {
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
  return ToJson(Canonical(body)).dump(2);
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
                       {"body", ToJson(Canonical(document.body))}};
  return object.dump();
}

configuration_document DecodeDocument(const std::string& text) {
  const json object = ParseJson(text);
  configuration_document document;
  document.version = Read<std::int64_t>(object, "version", "document");
  document.change_id = Read<std::string>(object, "change_id", "document");
  document.author = Read<std::string>(object, "author", "document");
  document.history = ReadList<change_record>(object, "history", ReadChange);
  document.body = ReadBody(Read<json>(object, "body", "document"));
  return document;
}

configuration_body DecodeBody(const std::string& text) {
  return ReadBody(ParseJson(text));
}

}  // namespace wist
