#pragma once

#include "tool/exitcode.h"

#include <functional>
#include <string>
#include <vector>

namespace guavavalve {

class ToolContext;

/// One command of the tool, as its help and its dispatch know it.
struct ToolCommand
{
    std::string name; ///< its words: "keys grant"
    std::string arguments; ///< as shown in help: "SECTION FILE"
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    std::string summary;
    std::vector<std::string> flags; ///< names of those that it heeds, beside the general ones
    std::function<ExitCode(const ToolContext &, const std::vector<std::string> &)> run;
};

/// Every command, in the order of the help.
const std::vector<ToolCommand> &toolCommands();

} // namespace guavavalve
