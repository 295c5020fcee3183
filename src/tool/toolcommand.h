#pragma once

#include "tool/exitcode.h"

#include <functional>
#include <string>
#include <vector>

namespace guavavalve {

class ToolContext;

/// One command of the tool, for the help and for the dispatch.
struct ToolCommand
{
    std::string name; ///< its words, for example "keys grant"
    std::string arguments; ///< as shown in the help, for example "SECTION FILE"
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    std::string summary;
    std::vector<std::string> flags; ///< names of its flags, in addition to the general ones
    std::function<ExitCode(const ToolContext &, const std::vector<std::string> &)> run;
};

/// Every command, in the order in which the help lists them.
const std::vector<ToolCommand> &toolCommands();

} // namespace guavavalve
