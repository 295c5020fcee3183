#include "tool/commandgroups.h"
#include "tool/toolcontext.h"

namespace guavavalve {

std::vector<Command> jobCommands()
{
    return {};
}

} // namespace guavavalve
