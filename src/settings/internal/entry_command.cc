#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "framework/keys/keys_module.h"
#include "framework/logging/logging_module.h"
#include "limits/body_budget.h"
#include "limits/request_memory.h"
#include "settings/settings_module.h"

namespace wist {
namespace {

namespace po = boost::program_options;

constexpr char kEnvironmentPrefix[] = "WISTERIATALLY_";
constexpr char kMask[] = "********";

// Returns the environment variable that corresponds to a flag.
std::string EnvironmentVariableName(const std::string& flag) {
  std::string name = kEnvironmentPrefix;
  for (const char character : flag) {
    name.push_back(character == '-'
                       ? '_'
                       : static_cast<char>(std::toupper(
                             static_cast<unsigned char>(character))));
  }
  return name;
}

po::options_description Options() {
  const auto text = [](const char* default_text) {
    return po::value<std::string>()->default_value(default_text);
  };
  const auto required = [] { return po::value<std::string>(); };
  po::options_description options(
      "wisteriatally, the entry instance.\n"
      "Each flag --some-name can also be set by the environment variable\n"
      "WISTERIATALLY_SOME_NAME; the flag overrides the variable");
  auto add = options.add_options();
  add("help", "print this text and exit");
  add("version", "print the version and exit");
  add("print-settings", "print the effective settings and exit");
  add("instance", required(), "unique name of this instance");
  add("domain", required(), "failure domain of this instance");
  add("listen", text("127.0.0.1:8080"), "address for callers, host:port");
  add("peer-listen", text("127.0.0.1:8081"),
      "address for other instances, host:port");
  add("platform", required(), "address of the platform's service, host:port");
  add("seed-peers", text(""),
      "addresses of other instances, host:port[,host:port...]");
  add("keys", required(),
      "signing keys, id:hex-secret[,id:hex-secret...]; the first one signs");
  add("log-level", text("info"), "debug, info, warning or error");
  add("max-streams", text("600"),
      "maximum number of concurrent requests, 1 to 5000");
  add("max-body-bytes", text("1048576"), "maximum size of a request body");
  add("caller-memory-bytes", text("0"),
      "memory for all request bodies together, at least 3.5 times "
      "max-body-bytes; 0 selects 64 MiB or 8 times max-body-bytes");
  add("start-limit-ms", text("10000"),
      "maximum time a request may wait for a target");
  add("stop-limit-ms", text("30000"),
      "maximum time a planned stop waits for requests in flight");
  add("poll-interval-ms", text("250"),
      "time between two polls of a load report");
  add("test-hooks", text("false"),
      "true enables the paths under /test/, for tests only");
  return options;
}

bool IsSecret(const std::string& name) {
  return name == "keys";
}

// Parses and validates values, collecting every error.
class settings_parser {
 public:
  explicit settings_parser(
      const std::map<std::string, effective_setting>& values)
      : values_(values) {}

  std::string GetRequired(const std::string& name) {
    const auto found = values_.find(name);
    if (found == values_.end() || found->second.value.empty()) {
      AddError(name, "is missing");
      return {};
    }
    return found->second.value;
  }

  std::string GetOptional(const std::string& name) {
    const auto found = values_.find(name);
    return found == values_.end() ? std::string() : found->second.value;
  }

  // Runs `parse` on the value; an std::invalid_argument is added to the
  // errors.
  template <typename Parse>
  auto ParseRequired(const std::string& name, Parse parse)
      -> decltype(parse(std::string())) {
    const std::string text = GetRequired(name);
    if (text.empty())
      return {};
    try {
      return parse(text);
    } catch (const std::invalid_argument& error) {
      AddError(name, error.what());
      return {};
    }
  }

  std::int64_t GetInteger(const std::string& name,
                          std::int64_t minimum,
                          std::int64_t maximum) {
    const std::string text = GetRequired(name);
    std::int64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() ||
        number < minimum || number > maximum) {
      AddError(name, "'" + text + "' is not an integer from " +
                         std::to_string(minimum) + " to " +
                         std::to_string(maximum));
      return minimum;
    }
    return number;
  }

  bool GetBool(const std::string& name) {
    const std::string text = GetRequired(name);
    if (text != "true" && text != "false")
      AddError(name, "'" + text + "' is neither true nor false");
    return text == "true";
  }

  void AddError(const std::string& name, const std::string& text) {
    errors_.push_back("--" + name + ": " + text);
  }

  void ThrowIfAnyError() const {
    if (!errors_.empty())
      throw settings_error(errors_);
  }

 private:
  const std::map<std::string, effective_setting>& values_;
  std::vector<std::string> errors_;
};

std::vector<http_address> ParseAddressList(const std::string& text) {
  std::vector<http_address> addresses;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');)
    addresses.push_back(ParseHttpAddress(item));
  return addresses;
}

// A budget below this number of the largest bodies is not chosen by default.
constexpr std::size_t kDefaultLargestBodies = 8;

std::size_t ParseCallerMemory(settings_parser& parser,
                              std::size_t max_body_bytes) {
  const auto stated = static_cast<std::size_t>(
      parser.GetInteger("caller-memory-bytes", 0, std::int64_t{1} << 40));
  if (stated == 0)
    return std::max(entry_settings{}.caller_memory_bytes,
                    kDefaultLargestBodies * max_body_bytes);
  const std::size_t needed = BodyMemoryBytes(max_body_bytes);
  if (LargeRequestBytes(stated) < needed) {
    parser.AddError("caller-memory-bytes",
                    std::to_string(LargeRequestBytes(stated)) +
                        " bytes for large requests, one of max-body-bytes "
                        "needs " +
                        std::to_string(needed));
  }
  return stated;
}

entry_settings ToEntrySettings(
    const std::map<std::string, effective_setting>& values) {
  settings_parser parser(values);
  entry_settings settings;
  settings.instance = parser.GetRequired("instance");
  settings.domain = parser.GetRequired("domain");
  settings.listen = parser.ParseRequired("listen", ParseHttpAddress);
  settings.peer_listen = parser.ParseRequired("peer-listen", ParseHttpAddress);
  settings.platform = parser.ParseRequired("platform", ParseHttpAddress);
  if (!parser.GetOptional("seed-peers").empty())
    settings.seed_peers = parser.ParseRequired("seed-peers", ParseAddressList);
  settings.keys = parser.ParseRequired("keys", [](const std::string& text) {
    MakeKeyring(text);
    return text;
  });
  settings.min_log_level = parser.ParseRequired("log-level", ParseLogLevel);
  settings.max_streams =
      static_cast<int>(parser.GetInteger("max-streams", 1, 5000));
  settings.max_body_bytes = static_cast<std::size_t>(
      parser.GetInteger("max-body-bytes", 1024, 64 << 20));
  settings.caller_memory_bytes =
      ParseCallerMemory(parser, settings.max_body_bytes);
  settings.start_limit =
      milliseconds(parser.GetInteger("start-limit-ms", 1, 600'000));
  settings.stop_limit =
      milliseconds(parser.GetInteger("stop-limit-ms", 0, 3'600'000));
  settings.poll_interval =
      milliseconds(parser.GetInteger("poll-interval-ms", 10, 10'000));
  settings.test_hooks = parser.GetBool("test-hooks");
  parser.ThrowIfAnyError();
  return settings;
}

po::variables_map ParseFlags(const std::vector<std::string>& arguments) {
  try {
    po::variables_map values;
    // The empty positional description makes positional arguments an error.
    po::store(po::command_line_parser(arguments)
                  .options(Options())
                  .positional({})
                  .run(),
              values);
    return values;
  } catch (const po::error& error) {
    throw settings_error({error.what()});
  }
}

// Resolves each setting from flags, environment and defaults, in this order of
// precedence.
std::map<std::string, effective_setting> ResolveSettings(
    const po::variables_map& flags) {
  std::map<std::string, effective_setting> resolved;
  const po::options_description options = Options();
  for (const auto& option : options.options()) {
    const std::string& name = option->long_name();
    const bool is_switch = option->semantic()->max_tokens() == 0;
    if (is_switch)
      continue;
    const bool set_by_flag = flags.count(name) && !flags[name].defaulted();
    const char* variable = std::getenv(EnvironmentVariableName(name).c_str());
    if (set_by_flag)
      resolved[name] = {name, flags[name].as<std::string>(), "flag"};
    else if (variable)
      resolved[name] = {name, variable, "environment"};
    else if (flags.count(name))
      resolved[name] = {name, flags[name].as<std::string>(), "default"};
  }
  return resolved;
}

}  // namespace

entry_command ReadEntryCommand(const std::vector<std::string>& arguments) {
  entry_command command;
  const po::variables_map flags = ParseFlags(arguments);
  if (flags.count("help")) {
    command.action = entry_action::help;
    return command;
  }
  if (flags.count("version")) {
    command.action = entry_action::version;
    return command;
  }
  const auto resolved = ResolveSettings(flags);
  command.settings = ToEntrySettings(resolved);
  for (auto [name, setting] : resolved) {
    if (IsSecret(name))
      setting.value = kMask;
    command.effective_settings.push_back(setting);
  }
  if (flags.count("print-settings"))
    command.action = entry_action::print_settings;
  return command;
}

std::string EntryHelp() {
  std::ostringstream text;
  text << Options();
  return text.str();
}

}  // namespace wist
