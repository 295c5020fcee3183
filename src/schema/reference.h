#pragma once

#include "schema/fieldspec.h"

#include <string>
#include <vector>

namespace guavavalve {

/// The table as plain text, as `--help-settings` prints it.
std::string helpText(const std::vector<FieldSpec> &specs);

/// The table as a Markdown page with the heading \a title.
std::string referencePage(const std::string &title, const std::vector<FieldSpec> &specs);

} // namespace guavavalve
