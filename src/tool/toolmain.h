#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace guavavalve {

/// Runs the tool as its main() does, and returns what the process ends with.
/// \a arguments: the command line without the program's name.
int runTool(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace guavavalve
