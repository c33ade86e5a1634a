#include "examples/program.h"

#include <fmt/format.h>

#include <boost/program_options.hpp>

#include "framework/base/system_clock.h"
#include "operator_api/operator_api_module.h"

namespace wist::examples {
namespace {

namespace po = boost::program_options;

constexpr seconds kStoreTimeout{10};

// `apply` applies the plan if its digest equals the given one; `apply-shown`
// applies the plan without comparing digests.
po::variables_map ParseArguments(int argc, char** argv) {
  po::options_description options;
  auto add = options.add_options();
  add("platform", po::value<std::string>()->required());
  add("engine-port", po::value<std::uint16_t>()->default_value(9100));
  add("plain-port", po::value<std::uint16_t>()->default_value(9200));
  add("apply", po::value<std::string>());
  add("apply-shown", po::bool_switch());
  add("author", po::value<std::string>()->default_value("operator"));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  return values;
}

int ApplyPlan(i_operator_client& client,
              const change_plan& plan,
              const std::string& author) {
  const auto result =
      client.Apply(plan, author, MakeSystemClock()->Now() + kStoreTimeout);
  if (const auto* accepted = std::get_if<change_accepted>(&result)) {
    fmt::print("accepted as version {}\n", accepted->version);
    return 0;
  }
  if (const auto* superseded = std::get_if<change_superseded>(&result))
    fmt::print(stderr, "not applied: version {} by {} was applied first\n",
               superseded->version, superseded->author);
  else
    fmt::print(stderr, "in doubt: the store did not respond in time\n");
  return 1;
}

}  // namespace

int RunProgram(
    int argc,
    char** argv,
    configuration_body (*build_configuration)(const deployment_addresses&)) {
  try {
    const po::variables_map values = ParseArguments(argc, argv);
    deployment_addresses addresses;
    addresses.first_engine_port = values["engine-port"].as<std::uint16_t>();
    addresses.first_plain_port = values["plain-port"].as<std::uint16_t>();
    const auto client = ConnectOperatorClient(
        ParseHttpAddress(values["platform"].as<std::string>()));
    const change_plan plan =
        client->Plan(build_configuration(addresses),
                     MakeSystemClock()->Now() + kStoreTimeout);
    fmt::print("{}\n\ndigest {}\nbase version {}, {} lines differ from it\n",
               plan.text, plan.digest, plan.base_version,
               plan.difference.size());
    const bool approved = values["apply-shown"].as<bool>() ||
                          (values.count("apply") &&
                           values["apply"].as<std::string>() == plan.digest);
    if (!approved) {
      fmt::print("not applied: to apply this plan, run again with --apply {}\n",
                 plan.digest);
      return values.count("apply") ? 1 : 0;
    }
    return ApplyPlan(*client, plan, values["author"].as<std::string>());
  } catch (const configuration_refused& refused) {
    for (const configuration_error& error : refused.errors())
      fmt::print(stderr, "{}: {}\n", error.path, error.message);
    return 1;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 2;
  }
}

}  // namespace wist::examples
