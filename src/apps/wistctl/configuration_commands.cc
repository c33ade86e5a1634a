#include "apps/wistctl/configuration_commands.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

#include "configuration/configuration_text.h"
#include "framework/base/system_clock.h"
#include "operator_api/configuration_builder.h"
#include "operator_api/operator_api_module.h"

namespace wist {
namespace {

constexpr seconds kCallLimit{10};

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;

timestamp Limit() {
  return MakeSystemClock()->Now() + kCallLimit;
}

std::unique_ptr<i_operator_client> Connect(const control_command& command) {
  if (command.platform.empty())
    throw usage_error("--platform is missing");
  return ConnectOperatorClient(ParseHttpAddress(command.platform));
}

const std::string& Argument(const control_command& command,
                            std::size_t index,
                            const std::string& what) {
  if (command.arguments.size() <= index)
    throw usage_error(command.name + " needs " + what);
  return command.arguments[index];
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw usage_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

void PrintPlan(const change_plan& plan) {
  fmt::print("{}\n\ndigest {}\nbase version {}\n", plan.text, plan.digest,
             plan.base_version);
  if (plan.difference.empty())
    fmt::print("no difference to what is in force\n");
  for (const std::string& line : plan.difference)
    fmt::print("{}\n", line);
}

int Report(const apply_result& result) {
  struct visitor {
    int operator()(const change_accepted& accepted) const {
      fmt::print("accepted as version {} (change {})\n", accepted.version,
                 accepted.change_id);
      return kExitOk;
    }
    int operator()(const change_overtaken& overtaken) const {
      fmt::print(stderr, "wistctl: overtaken by version {} of {} (change {})\n",
                 overtaken.version, overtaken.author, overtaken.change_id);
      return kExitFailed;
    }
    int operator()(const change_in_doubt& doubt) const {
      fmt::print(stderr,
                 "wistctl: in doubt: the store did not answer (change {}); "
                 "see 'wistctl history'\n",
                 doubt.change_id);
      return kExitFailed;
    }
  };
  return std::visit(visitor{}, result);
}

// Plans `body`, shows what changes and applies it.
int ApplyBody(i_operator_client& client,
              const control_command& command,
              const configuration_body& body) {
  const change_plan plan = client.Plan(body, Limit());
  for (const std::string& line : plan.difference)
    fmt::print("{}\n", line);
  fmt::print("digest {}\n", plan.digest);
  return Report(client.Apply(plan, command.author, Limit()));
}

}  // namespace

int RunPlan(const control_command& command) {
  const auto client = Connect(command);
  PrintPlan(client->Plan(DecodeBody(ReadFile(Argument(command, 0, "a file"))),
                         Limit()));
  return kExitOk;
}

int RunApply(const control_command& command) {
  if (command.digest.empty())
    throw usage_error("apply needs --digest, as plan printed it");
  const auto client = Connect(command);
  const change_plan plan = client->Plan(
      DecodeBody(ReadFile(Argument(command, 0, "a file"))), Limit());
  if (plan.digest != command.digest)
    throw usage_error("the file's digest is " + plan.digest +
                      ", not the one that was approved");
  return Report(client->Apply(plan, command.author, Limit()));
}

int RunShow(const control_command& command) {
  const configuration_document document = Connect(command)->Show(Limit());
  fmt::print("{}\n\nversion {}\nchange {} of {}\ndigest {}\n",
             CanonicalText(document.body), document.version, document.change_id,
             document.author, BodyDigest(document.body));
  return kExitOk;
}

int RunHistory(const control_command& command) {
  for (const change_record& change : Connect(command)->Show(Limit()).history) {
    fmt::print("{:>8}  {}  {}  {}\n", change.version, change.change_id,
               change.digest.substr(0, 16), change.author);
  }
  return kExitOk;
}

int RunDomain(const control_command& command) {
  const std::string& word = Argument(command, 0, "out or in");
  if (word != "out" && word != "in")
    throw usage_error("domain takes out or in");
  const domain_id domain(Argument(command, 1, "a failure domain"));
  const auto client = Connect(command);
  const auto state = word == "out" ? domain_state::out : domain_state::in;
  return ApplyBody(*client, command,
                   WithDomainState(client->Show(Limit()).body, domain, state));
}

int RunTarget(const control_command& command) {
  const std::string& word = Argument(command, 0, "leave or return");
  if (word != "leave" && word != "return")
    throw usage_error("target takes leave or return");
  const target_id target(Argument(command, 1, "a target"));
  const auto client = Connect(command);
  const auto state =
      word == "leave" ? target_state::leaving : target_state::active;
  return ApplyBody(*client, command,
                   WithTargetState(client->Show(Limit()).body, target, state));
}

}  // namespace wist
