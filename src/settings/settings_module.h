#ifndef SETTINGS_SETTINGS_MODULE_H_
#define SETTINGS_SETTINGS_MODULE_H_

#include <string>
#include <vector>

#include "settings/settings_types.h"

namespace wist {

// The action that the command line selects.
enum class entry_action { serve, help, version, print_settings };

struct entry_command {
  entry_action action = entry_action::serve;
  entry_settings settings;
  std::vector<effective_setting> effective_settings;  // Secrets are masked.
};

// Reads each setting from its flag, else from the environment variable
// WISTERIATALLY_<NAME>, else from its default. Throws settings_error, which
// lists every error.
entry_command ReadEntryCommand(const std::vector<std::string>& arguments);

// Returns the text of `--help`.
std::string EntryHelp();

}  // namespace wist

#endif  // SETTINGS_SETTINGS_MODULE_H_
