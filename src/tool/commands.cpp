#include "tool/command.h"

#include "tool/commandgroups.h"

#include <iterator>

namespace guavavalve {

namespace {

void append(std::vector<Command> &all, std::vector<Command> group)
{
    all.insert(all.end(), std::make_move_iterator(group.begin()),
               std::make_move_iterator(group.end()));
}

std::vector<Command> collectCommands()
{
    std::vector<Command> all;
    append(all, cellCommands());
    append(all, jobCommands());
    append(all, configurationCommands());
    append(all, keyCommands());
    append(all, replicaCommands());
    append(all, replayCommands());
    return all;
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> all = collectCommands();
    return all;
}

} // namespace guavavalve
