#include "tool/commandgroups.h"
#include "tool/toolcontext.h"

namespace guavavalve {

std::vector<ToolCommand> jobCommands()
{
    return {};
}

} // namespace guavavalve
