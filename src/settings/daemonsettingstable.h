#pragma once

#include "schema/fieldtable.h"
#include "settings/daemonsettings.h"

#include <string>

namespace guavavalve {

/// The table from which the checks, the help text and the reference page are derived.
const FieldTable<DaemonSettings> &daemonSettingsTable();

/// The text of `--help-settings`.
std::string settingsHelp();

/// The reference page, in Markdown.
std::string settingsReferencePage();

} // namespace guavavalve
