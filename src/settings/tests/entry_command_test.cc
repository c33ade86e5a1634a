#include <stdlib.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "settings/settings_module.h"

namespace wist {
namespace {

const std::vector<std::string> kRequiredFlags = {
    "--instance=i1", "--domain=rennes", "--platform=127.0.0.1:7000",
    "--keys=k1:000102030405060708090a0b0c0d0e0f"};

std::vector<std::string> RequiredFlagsAnd(const std::string& argument) {
  std::vector<std::string> arguments = kRequiredFlags;
  arguments.push_back(argument);
  return arguments;
}

effective_setting FindSetting(const entry_command& command,
                              const std::string& name) {
  return *std::find_if(command.effective_settings.begin(),
                       command.effective_settings.end(),
                       [&](const auto& s) { return s.name == name; });
}

}  // namespace

TEST_CASE("a command line with all required flags is accepted") {
  const entry_command command =
      ReadEntryCommand(RequiredFlagsAnd("--max-streams=7"));
  CHECK(command.action == entry_action::serve);
  CHECK(command.settings.instance == "i1");
  CHECK(command.settings.max_streams == 7);
  CHECK(command.settings.listen == http_address{"127.0.0.1", 8080});
}

TEST_CASE("a flag overrides the environment, which overrides the default") {
  setenv("WISTERIATALLY_MAX_STREAMS", "8", 1);
  CHECK(ReadEntryCommand(kRequiredFlags).settings.max_streams == 8);
  CHECK(FindSetting(ReadEntryCommand(kRequiredFlags), "max-streams").source ==
        "environment");
  CHECK(ReadEntryCommand(RequiredFlagsAnd("--max-streams=7"))
            .settings.max_streams == 7);
  unsetenv("WISTERIATALLY_MAX_STREAMS");
  CHECK(FindSetting(ReadEntryCommand(kRequiredFlags), "max-streams").source ==
        "default");
}

// Guards against an instance that starts and can't serve a permitted request.
TEST_CASE("a memory for bodies that can't hold the largest one is an error") {
  CHECK(ReadEntryCommand(RequiredFlagsAnd("--max-body-bytes=67108864"))
            .settings.caller_memory_bytes == 536'870'912U);
  CHECK_NOTHROW(
      ReadEntryCommand(RequiredFlagsAnd("--caller-memory-bytes=4000000")));
  try {
    ReadEntryCommand(RequiredFlagsAnd("--caller-memory-bytes=3000000"));
    FAIL("invalid settings were accepted");
  } catch (const settings_error& error) {
    REQUIRE(error.errors().size() == 1);
    CHECK(error.errors()[0].find("2625000") != std::string::npos);
    CHECK(error.errors()[0].find("3145728") != std::string::npos);
  }
}

TEST_CASE("all errors are reported at once") {
  try {
    ReadEntryCommand({"--max-streams=0", "--platform=nowhere"});
    FAIL("invalid settings were accepted");
  } catch (const settings_error& error) {
    CHECK(error.errors().size() == 5);
  }
}

TEST_CASE("an unknown flag is rejected") {
  CHECK_THROWS_AS(ReadEntryCommand({"--unknown=1"}), settings_error);
}

TEST_CASE("secrets are masked in the effective settings") {
  CHECK(FindSetting(ReadEntryCommand(kRequiredFlags), "keys").value ==
        "********");
}

}  // namespace wist
