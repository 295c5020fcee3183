#pragma once

#include "core/error.h"
#include "settings/daemonsettings.h"

#include <string>

namespace guavavalve {

/// Parses settings from JSON text. Advertised addresses default to the listen addresses.
/// \errors InvalidArgument, with one line for every unknown, duplicate, missing, wrongly typed or
/// out-of-range setting. If there is none, with one for every pair of settings that conflict.
Result<DaemonSettings> parseSettings(const std::string &text);

/// Loads settings from the file at \a path.
/// \errors those of parseSettings(), and NotFound if the file cannot be read.
Result<DaemonSettings> loadSettings(const std::string &path);

} // namespace guavavalve
