#pragma once

#include "core/error.h"
#include "settings/daemonsettings.h"

#include <string>

namespace guavavalve {

/// Reads the settings from JSON text. Advertised addresses that are not given are filled in.
/// \errors InvalidArgument naming every unknown, doubled, missing, wrongly typed or
/// out-of-range setting and every pair that does not agree, one a line, all at once.
Result<DaemonSettings> parseSettings(const std::string &text);

/// The same from the file at \a path.
/// \errors also NotFound if it cannot be read.
Result<DaemonSettings> loadSettings(const std::string &path);

} // namespace guavavalve
