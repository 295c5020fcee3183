#include "tool/help.h"

#include "runtime/metrictable.h"
#include "tool/exitcode.h"
#include "tool/toolflags.h"

#include <algorithm>

namespace guavavalve {

namespace {

const std::vector<std::string> &generalFlags()
{
    static const std::vector<std::string> names{"server", "key", "output", "timeout_ms"};
    return names;
}

std::string synopsis(const ToolCommand &command)
{
    return command.name + (command.arguments.empty() ? "" : " " + command.arguments);
}

std::string commandList(const std::vector<const ToolCommand *> &listed)
{
    std::size_t width = 0;
    for (const ToolCommand *command : listed)
        width = std::max(width, synopsis(*command).size());
    std::string text;
    for (const ToolCommand *command : listed) {
        std::string line = "  " + synopsis(*command);
        line.append(width + 4 - line.size(), ' ');
        text += line + command->summary + "\n";
    }
    return text;
}

std::string flagList(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += describeFlag(name);
    return text;
}

std::string exitCodeList()
{
    std::string text = "Exit codes:\n";
    for (const auto &[code, meaning] : exitCodeMeanings)
        text += "  " + std::to_string(static_cast<int>(code)) + "  " + std::string(meaning) + "\n";
    return text;
}

std::string join(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

} // namespace

std::string generalHelp()
{
    std::vector<const ToolCommand *> all;
    for (const ToolCommand &command : toolCommands())
        all.push_back(&command);
    return "guavavalve COMMAND [ARGUMENT ...] [--FLAG=VALUE ...]\n\nCommands:\n" + commandList(all)
        + "  help [COMMAND]       Shows this help, or that of a command.\n"
          "  help metrics         Prints the table of metrics.\n"
          "\nFlags of every command:\n"
        + flagList(generalFlags()) + "\n" + exitCodeList();
}

std::string commandHelp(const ToolCommand &command)
{
    std::string text =
        "guavavalve " + synopsis(command) + "\n\n" + command.summary + "\n\nFlags:\n";
    return text + flagList(command.flags) + flagList(generalFlags()) + "\n" + exitCodeList();
}

std::string helpFor(const std::vector<std::string> &words)
{
    if (words == std::vector<std::string>{"metrics"})
        return metricsReference();
    // Finds the longest sequence of leading words that names a command or begins some.
    for (std::size_t count = words.size(); count > 0; --count) {
        const std::string name = join({words.begin(), words.begin() + static_cast<long>(count)});
        std::vector<const ToolCommand *> below;
        for (const ToolCommand &command : toolCommands()) {
            if (command.name == name)
                return commandHelp(command);
            if (command.name.compare(0, name.size() + 1, name + " ") == 0)
                below.push_back(&command);
        }
        if (!below.empty())
            return commandList(below);
    }
    return generalHelp();
}

} // namespace guavavalve
