#include <stdlib.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "settings/settings_module.h"

namespace wist {
namespace {

const std::vector<std::string> kComplete = {
    "--instance=i1", "--domain=rennes", "--platform=127.0.0.1:7000",
    "--keys=k1:000102030405060708090a0b0c0d0e0f"};

std::vector<std::string> With(const std::string& argument) {
  std::vector<std::string> arguments = kComplete;
  arguments.push_back(argument);
  return arguments;
}

shown_setting Shown(const entry_command& command, const std::string& name) {
  return *std::find_if(command.shown.begin(), command.shown.end(),
                       [&](const auto& s) { return s.name == name; });
}

}  // namespace

TEST_CASE("a complete command line is taken") {
  const entry_command command = ReadEntryCommand(With("--max-streams=7"));
  CHECK(command.action == entry_action::serve);
  CHECK(command.settings.instance == "i1");
  CHECK(command.settings.max_streams == 7);
  CHECK(command.settings.listen == http_address{"127.0.0.1", 8080});
}

TEST_CASE("a flag goes before the environment, which goes before a default") {
  setenv("WISTERIATALLY_MAX_STREAMS", "8", 1);
  CHECK(ReadEntryCommand(kComplete).settings.max_streams == 8);
  CHECK(Shown(ReadEntryCommand(kComplete), "max-streams").source ==
        "environment");
  CHECK(ReadEntryCommand(With("--max-streams=7")).settings.max_streams == 7);
  unsetenv("WISTERIATALLY_MAX_STREAMS");
  CHECK(Shown(ReadEntryCommand(kComplete), "max-streams").source == "default");
}

TEST_CASE("all faults are told at once") {
  try {
    ReadEntryCommand({"--max-streams=0", "--platform=nowhere"});
    FAIL("faulty settings were taken");
  } catch (const settings_error& error) {
    CHECK(error.faults().size() == 5);
  }
}

TEST_CASE("an unknown flag is a fault") {
  CHECK_THROWS_AS(ReadEntryCommand({"--unknown=1"}), settings_error);
}

TEST_CASE("secrets are masked where settings are shown") {
  CHECK(Shown(ReadEntryCommand(kComplete), "keys").value == "********");
}

}  // namespace wist
