#pragma once

#include "tool/toolcommand.h"

#include <vector>

namespace guavavalve {

// Each function returns one group of commands, in the order in which the help lists them.

std::vector<ToolCommand> configurationCommands();
std::vector<ToolCommand> keyCommands();
std::vector<ToolCommand> cellCommands();
std::vector<ToolCommand> replicaCommands();
std::vector<ToolCommand> jobCommands();
std::vector<ToolCommand> replayCommands();
std::vector<ToolCommand> delayCommands();

} // namespace guavavalve
