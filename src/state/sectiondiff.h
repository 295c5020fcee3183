#pragma once

#include "state/sectionpreview.h"

#include <string>
#include <vector>

namespace guavavalve {

/// The fields that differ between two JSON texts of a section, sorted by path. A text that cannot
/// be parsed counts as empty; validation reports its problems.
std::vector<FieldChange> sectionChanges(const std::string &before, const std::string &after);

/// The differing fields as human-readable text, truncated to fit in an error message.
std::string changesText(const std::string &before, const std::string &after);

} // namespace guavavalve
