#include "tool/toolcommand.h"

#include "tool/commandgroups.h"

#include <iterator>

namespace guavavalve {

namespace {

void append(std::vector<ToolCommand> &all, std::vector<ToolCommand> group)
{
    all.insert(all.end(), std::make_move_iterator(group.begin()),
               std::make_move_iterator(group.end()));
}

std::vector<ToolCommand> collectCommands()
{
    std::vector<ToolCommand> all;
    append(all, cellCommands());
    append(all, jobCommands());
    append(all, configurationCommands());
    append(all, keyCommands());
    append(all, replicaCommands());
    append(all, replayCommands());
    append(all, delayCommands());
    return all;
}

} // namespace

const std::vector<ToolCommand> &toolCommands()
{
    static const std::vector<ToolCommand> all = collectCommands();
    return all;
}

} // namespace guavavalve
