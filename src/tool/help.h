#pragma once

#include "tool/toolcommand.h"

#include <string>
#include <vector>

namespace guavavalve {

/// The tool's own help: every command, the general flags, the exit codes.
std::string generalHelp();

/// The help of one command.
std::string commandHelp(const ToolCommand &command);

/// What help there is for the words of a command line: of one command, of those that begin with
/// these words, or the general one.
std::string helpFor(const std::vector<std::string> &words);

} // namespace guavavalve
