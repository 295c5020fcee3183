#pragma once

#include "core/error.h"

#include <string>
#include <vector>

namespace guavavalve {

/// A section as somebody wrote it to a file.
struct SectionFile
{
    std::string name;
    std::string content; ///< JSON text
};

/// What the arguments of a command name: pairs of SECTION FILE, or one DOCUMENT, a JSON object
/// with a field for each section. The cell's section comes first, since the others lean on it.
/// \errors InvalidArgument, naming the file and, for a document, each doubled name.
Result<std::vector<SectionFile>> readDrafts(const std::vector<std::string> &arguments);

} // namespace guavavalve
