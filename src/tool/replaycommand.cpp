#include "tool/commandgroups.h"
#include "tool/files.h"
#include "tool/toolcontext.h"

namespace guavavalve {

namespace {

ExitCode replay(const ToolContext &context, const std::vector<std::string> &arguments)
{
    (void)arguments;
    return context.usage("replaying traces is not built in yet");
}

} // namespace

std::vector<ToolCommand> replayCommands()
{
    constexpr std::size_t many = 1000;
    return {{"replay",
             "FILE ...",
             1,
             many,
             "Replays recorded traces and compares decisions and outcomes. Needs no server.",
             {},
             replay}};
}

} // namespace guavavalve
