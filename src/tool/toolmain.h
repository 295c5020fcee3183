#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace guavavalve {

/// Runs the tool and returns the exit status for its process.
/// \a arguments is the command line without the program's name.
int runTool(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace guavavalve
