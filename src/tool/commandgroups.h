#pragma once

#include "tool/command.h"

#include <vector>

namespace guavavalve {

std::vector<Command> configurationCommands();
std::vector<Command> keyCommands();
std::vector<Command> cellCommands();
std::vector<Command> replicaCommands();
std::vector<Command> jobCommands();
std::vector<Command> replayCommands();

} // namespace guavavalve
