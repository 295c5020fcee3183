#pragma once

#include "tool/toolcommand.h"

#include <string>
#include <vector>

namespace guavavalve {

/// Lists every command, the general flags and the exit codes.
std::string generalHelp();

/// The summary, flags and exit codes of one command.
std::string commandHelp(const ToolCommand &command);

/// The help for the words of a command line: that of the command they name, a list of the commands
/// that begin with them, or the general help. "metrics" gives the table of metrics.
std::string helpFor(const std::vector<std::string> &words);

} // namespace guavavalve
