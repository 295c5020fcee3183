#pragma once

#include "tool/toolcommand.h"

#include <vector>

namespace guavavalve {

std::vector<ToolCommand> configurationCommands();
std::vector<ToolCommand> keyCommands();
std::vector<ToolCommand> cellCommands();
std::vector<ToolCommand> replicaCommands();
std::vector<ToolCommand> jobCommands();
std::vector<ToolCommand> replayCommands();
std::vector<ToolCommand> logCommands();

} // namespace guavavalve
