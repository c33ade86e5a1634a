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
#include "settings/settings_module.h"

namespace wist {
namespace {

namespace po = boost::program_options;

constexpr char kEnvironmentPrefix[] = "WISTERIATALLY_";
constexpr char kMask[] = "********";

// Returns the environment variable that stands for a flag.
std::string VariableName(const std::string& flag) {
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
  const auto text = [](const char* fallback) {
    return po::value<std::string>()->default_value(fallback);
  };
  const auto needed = [] { return po::value<std::string>(); };
  po::options_description options(
      "wisteriatally, the entry instance.\n"
      "Each flag --some-name can also be set by the environment variable\n"
      "WISTERIATALLY_SOME_NAME; a flag goes before its variable");
  auto add = options.add_options();
  add("help", "print this text and exit");
  add("version", "print the version and exit");
  add("print-settings", "print what is in force and exit");
  add("instance", needed(), "unique name of this instance");
  add("domain", needed(), "failure domain of this instance");
  add("listen", text("127.0.0.1:8080"), "address for callers, host:port");
  add("peer-listen", text("127.0.0.1:8081"),
      "address for other instances, host:port");
  add("platform", needed(), "address of the platform's service, host:port");
  add("seed-peers", text(""),
      "addresses of other instances, host:port[,host:port...]");
  add("keys", needed(),
      "signing keys, id:hex-secret[,id:hex-secret...]; the first signs");
  add("log-level", text("info"), "debug, info, warning or error");
  add("max-streams", text("600"), "requests served at once, 1 to 5000");
  add("max-body-bytes", text("1048576"), "largest request body");
  add("start-limit-ms", text("10000"),
      "longest time a request may wait for a target");
  add("stop-limit-ms", text("30000"),
      "longest time a planned stop waits for requests in flight");
  add("poll-interval-ms", text("250"), "time between load reports");
  add("test-hooks", text("false"), "true to let tests cut peer links");
  return options;
}

bool IsSecret(const std::string& name) {
  return name == "keys";
}

// Reads checked values and collects every fault.
class reader {
 public:
  explicit reader(const std::map<std::string, shown_setting>& values)
      : values_(values) {}

  std::string Text(const std::string& name) {
    const auto found = values_.find(name);
    if (found == values_.end() || found->second.value.empty()) {
      Fault(name, "is missing");
      return {};
    }
    return found->second.value;
  }

  std::string OptionalText(const std::string& name) {
    const auto found = values_.find(name);
    return found == values_.end() ? std::string() : found->second.value;
  }

  // Runs `parse` on the value; an std::invalid_argument becomes a fault.
  template <typename Parse>
  auto Parsed(const std::string& name, Parse parse)
      -> decltype(parse(std::string())) {
    const std::string text = Text(name);
    if (text.empty())
      return {};
    try {
      return parse(text);
    } catch (const std::invalid_argument& error) {
      Fault(name, error.what());
      return {};
    }
  }

  std::int64_t Number(const std::string& name,
                      std::int64_t lowest,
                      std::int64_t highest) {
    const std::string text = Text(name);
    std::int64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() ||
        number < lowest || number > highest) {
      Fault(name, "'" + text + "' is not a number from " +
                      std::to_string(lowest) + " to " +
                      std::to_string(highest));
      return lowest;
    }
    return number;
  }

  bool Flag(const std::string& name) {
    const std::string text = Text(name);
    if (text != "true" && text != "false")
      Fault(name, "'" + text + "' is neither true nor false");
    return text == "true";
  }

  void Fault(const std::string& name, const std::string& text) {
    faults_.push_back("--" + name + ": " + text);
  }

  void ThrowIfFaulty() const {
    if (!faults_.empty())
      throw settings_error(faults_);
  }

 private:
  const std::map<std::string, shown_setting>& values_;
  std::vector<std::string> faults_;
};

std::vector<http_address> ParseAddressList(const std::string& text) {
  std::vector<http_address> addresses;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');)
    addresses.push_back(ParseHttpAddress(part));
  return addresses;
}

entry_settings ReadSettings(
    const std::map<std::string, shown_setting>& values) {
  reader read(values);
  entry_settings settings;
  settings.instance = read.Text("instance");
  settings.domain = read.Text("domain");
  settings.listen = read.Parsed("listen", ParseHttpAddress);
  settings.peer_listen = read.Parsed("peer-listen", ParseHttpAddress);
  settings.platform = read.Parsed("platform", ParseHttpAddress);
  if (!read.OptionalText("seed-peers").empty())
    settings.seed_peers = read.Parsed("seed-peers", ParseAddressList);
  settings.keys = read.Parsed("keys", [](const std::string& text) {
    MakeKeyring(text);
    return text;
  });
  settings.lowest_log_level = read.Parsed("log-level", ParseLogLevel);
  settings.max_streams = static_cast<int>(read.Number("max-streams", 1, 5000));
  settings.max_body_bytes =
      static_cast<std::size_t>(read.Number("max-body-bytes", 1024, 64 << 20));
  settings.start_limit =
      milliseconds(read.Number("start-limit-ms", 1, 600'000));
  settings.stop_limit =
      milliseconds(read.Number("stop-limit-ms", 0, 3'600'000));
  settings.poll_interval =
      milliseconds(read.Number("poll-interval-ms", 10, 10'000));
  settings.test_hooks = read.Flag("test-hooks");
  read.ThrowIfFaulty();
  return settings;
}

po::variables_map ParseFlags(const std::vector<std::string>& arguments) {
  try {
    po::variables_map values;
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

// Merges flags, environment and defaults, in this order of precedence.
std::map<std::string, shown_setting> Merge(const po::variables_map& flags) {
  std::map<std::string, shown_setting> merged;
  const po::options_description options = Options();
  for (const auto& option : options.options()) {
    const std::string& name = option->long_name();
    const bool is_switch = option->semantic()->max_tokens() == 0;
    if (is_switch)
      continue;
    const bool by_flag = flags.count(name) && !flags[name].defaulted();
    const char* variable = std::getenv(VariableName(name).c_str());
    if (by_flag)
      merged[name] = {name, flags[name].as<std::string>(), "flag"};
    else if (variable)
      merged[name] = {name, variable, "environment"};
    else if (flags.count(name))
      merged[name] = {name, flags[name].as<std::string>(), "default"};
  }
  return merged;
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
  const auto merged = Merge(flags);
  command.settings = ReadSettings(merged);
  for (auto [name, setting] : merged) {
    if (IsSecret(name))
      setting.value = kMask;
    command.shown.push_back(setting);
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
