#pragma once

#include "core/error.h"

#include <string>
#include <vector>

namespace guavavalve {

/// A section of the configuration, as read from a file.
struct SectionFile
{
    std::string name;
    std::string content; ///< JSON text
};

/// Reads the files that a command's arguments name: pairs of SECTION FILE, or one DOCUMENT, a JSON
/// object with a field for each section. Of a document, the cell's section comes first, since the
/// others depend on it.
/// \errors InvalidArgument, naming the file and, for a document, each duplicate name.
Result<std::vector<SectionFile>> readDrafts(const std::vector<std::string> &arguments);

} // namespace guavavalve
