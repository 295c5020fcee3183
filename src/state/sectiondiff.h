#pragma once

#include "state/sectionpreview.h"

#include <string>
#include <vector>

namespace guavavalve {

/// The fields that differ between two JSON texts of a section, by path. A text that cannot be
/// read counts as empty: its faults are told by the check.
std::vector<FieldChange> sectionChanges(const std::string &before, const std::string &after);

/// The same for a person to read, cut to a length that fits a message.
std::string changesText(const std::string &before, const std::string &after);

} // namespace guavavalve
