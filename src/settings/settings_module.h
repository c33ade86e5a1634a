#ifndef SETTINGS_SETTINGS_MODULE_H_
#define SETTINGS_SETTINGS_MODULE_H_

#include <string>
#include <vector>

#include "settings/settings_types.h"

namespace wist {

// What the command line asks for.
enum class entry_action { serve, help, version, print_settings };

struct entry_command {
  entry_action action = entry_action::serve;
  entry_settings settings;
  std::vector<shown_setting> shown;  // Secrets are masked.
};

// Reads flags, then environment variables WISTERIATALLY_<NAME> for what no
// flag sets, then defaults. Throws settings_error with every fault.
entry_command ReadEntryCommand(const std::vector<std::string>& arguments);

// Returns the text of `--help`.
std::string EntryHelp();

}  // namespace wist

#endif  // SETTINGS_SETTINGS_MODULE_H_
