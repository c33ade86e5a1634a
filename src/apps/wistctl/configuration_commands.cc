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

constexpr seconds kCallTimeout{10};

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;

timestamp CallDeadline() {
  return MakeSystemClock()->Now() + kCallTimeout;
}

std::unique_ptr<i_operator_client> Connect(const control_command& command) {
  if (command.platform.empty())
    throw usage_error("--platform is missing");
  return ConnectOperatorClient(ParseHttpAddress(command.platform));
}

const std::string& RequireArgument(const control_command& command,
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
    fmt::print("no difference from the configuration in force\n");
  for (const std::string& line : plan.difference)
    fmt::print("{}\n", line);
}

int PrintResult(const apply_result& result) {
  struct visitor {
    int operator()(const change_accepted& accepted) const {
      fmt::print("accepted as version {} (change {})\n", accepted.version,
                 accepted.change_id);
      return kExitOk;
    }
    int operator()(const change_superseded& superseded) const {
      fmt::print(stderr,
                 "wistctl: superseded by version {} of {} (change {})\n",
                 superseded.version, superseded.author, superseded.change_id);
      return kExitFailed;
    }
    int operator()(const change_in_doubt& in_doubt) const {
      fmt::print(
          stderr,
          "wistctl: in doubt: the store did not respond in time (change {}); "
          "see 'wistctl history'\n",
          in_doubt.change_id);
      return kExitFailed;
    }
  };
  return std::visit(visitor{}, result);
}

// Plans `body`, prints the difference and applies the plan.
int PlanAndApply(i_operator_client& client,
                 const control_command& command,
                 const configuration_body& body) {
  const change_plan plan = client.Plan(body, CallDeadline());
  for (const std::string& line : plan.difference)
    fmt::print("{}\n", line);
  fmt::print("digest {}\n", plan.digest);
  return PrintResult(client.Apply(plan, command.author, CallDeadline()));
}

}  // namespace

int RunPlan(const control_command& command) {
  const auto client = Connect(command);
  PrintPlan(
      client->Plan(DecodeBody(ReadFile(RequireArgument(command, 0, "a file"))),
                   CallDeadline()));
  return kExitOk;
}

int RunApply(const control_command& command) {
  if (command.digest.empty())
    throw usage_error("apply needs --digest with the digest that plan printed");
  const auto client = Connect(command);
  const change_plan plan =
      client->Plan(DecodeBody(ReadFile(RequireArgument(command, 0, "a file"))),
                   CallDeadline());
  if (plan.digest != command.digest)
    throw usage_error("digest of the file is " + plan.digest +
                      ", which differs from --digest");
  return PrintResult(client->Apply(plan, command.author, CallDeadline()));
}

int RunShow(const control_command& command) {
  const configuration_document document =
      Connect(command)->Show(CallDeadline());
  fmt::print("{}\n\nversion {}\nchange {} of {}\ndigest {}\n",
             CanonicalText(document.body), document.version, document.change_id,
             document.author, BodyDigest(document.body));
  return kExitOk;
}

int RunHistory(const control_command& command) {
  for (const change_record& change :
       Connect(command)->Show(CallDeadline()).history) {
    fmt::print("{:>8}  {}  {}  {}\n", change.version, change.change_id,
               change.digest.substr(0, 16), change.author);
  }
  return kExitOk;
}

int RunDomain(const control_command& command) {
  const std::string& action = RequireArgument(command, 0, "out or in");
  if (action != "out" && action != "in")
    throw usage_error("domain: the first argument must be out or in");
  const domain_id domain(RequireArgument(command, 1, "a failure domain"));
  const auto client = Connect(command);
  const auto state = action == "out" ? domain_state::out : domain_state::in;
  return PlanAndApply(
      *client, command,
      WithDomainState(client->Show(CallDeadline()).body, domain, state));
}

int RunTarget(const control_command& command) {
  const std::string& action = RequireArgument(command, 0, "leave or return");
  if (action != "leave" && action != "return")
    throw usage_error("target: the first argument must be leave or return");
  const target_id target(RequireArgument(command, 1, "a target"));
  const auto client = Connect(command);
  const auto state =
      action == "leave" ? target_state::leaving : target_state::active;
  return PlanAndApply(
      *client, command,
      WithTargetState(client->Show(CallDeadline()).body, target, state));
}

}  // namespace wist
