#include "tool/toolmain.h"

#include "tool/help.h"
#include "tool/toolcommand.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace guavavalve {

namespace {

/// A parsed command line.
struct CommandLine
{
    std::vector<std::string> words;
    bool help = false;
    std::string error; ///< empty: none
};

/// Sets the flag that \a text, without its dashes, names. "noNAME" sets a boolean flag to false.
/// \returns an error message; empty if the flag was set.
std::string setFlag(const std::string &text)
{
    const std::size_t equals = text.find('=');
    std::string name = text.substr(0, equals);
    std::replace(name.begin(), name.end(), '-', '_');
    std::string value = equals == std::string::npos ? "true" : text.substr(equals + 1);
    absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr && equals == std::string::npos && name.compare(0, 2, "no") == 0) {
        flag = absl::FindCommandLineFlag(name.substr(2));
        value = "false";
    }
    if (flag == nullptr)
        return "there is no flag --" + text.substr(0, equals) + "; see --help";
    if (equals == std::string::npos && !flag->IsOfType<bool>())
        return "--" + name + " needs a value: --" + name + "=...";
    std::string error;
    if (!flag->ParseFrom(value, &error))
        return "--" + name + "=" + value + ": " + error;
    return "";
}

CommandLine parse(const std::vector<std::string> &arguments)
{
    CommandLine line;
    bool flagsEnded = false;
    for (const std::string &argument : arguments) {
        const bool isFlag = !flagsEnded && argument.size() > 1 && argument[0] == '-';
        if (!isFlag)
            line.words.push_back(argument);
        else if (argument == "--")
            flagsEnded = true;
        else if (argument == "--help" || argument == "-h")
            line.help = true;
        else if (line.error.empty())
            line.error = setFlag(argument.substr(argument[1] == '-' ? 2 : 1));
    }
    return line;
}

/// Whether \a words begin with the words of the command \a name; if so, \a nameWords is their
/// number.
bool matchesCommand(const std::vector<std::string> &words, const std::string &name,
                    std::size_t &nameWords)
{
    std::string joined;
    for (std::size_t i = 0; i < words.size(); ++i) {
        joined += (i == 0 ? "" : " ") + words[i];
        if (joined == name) {
            nameWords = i + 1;
            return true;
        }
    }
    return false;
}

/// The value of --key, or otherwise of the environment variable GUAVAVALVE_KEY.
std::string bearerToken()
{
    std::string key = absl::GetFlag(FLAGS_key);
    const char *fromEnvironment = std::getenv("GUAVAVALVE_KEY");
    if (key.empty() && fromEnvironment != nullptr)
        key = fromEnvironment;
    return key;
}

std::string checkArguments(const ToolCommand &command, std::size_t given)
{
    if (given >= command.minArguments && given <= command.maxArguments)
        return "";
    return "use: guavavalve " + command.name + " " + command.arguments;
}

} // namespace

int runTool(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    const auto end = [](ExitCode code) { return static_cast<int>(code); };
    const CommandLine line = parse(arguments);
    if (line.help || line.words.empty() || line.words[0] == "help") {
        std::vector<std::string> words = line.words;
        if (!words.empty() && words[0] == "help")
            words.erase(words.begin());
        const bool asked = line.help || !line.words.empty();
        (asked ? out : err) << helpFor(words);
        return end(asked ? ExitCode::Done : ExitCode::Usage);
    }
    const auto format = enumFromName(outputFormatNames, absl::GetFlag(FLAGS_output));
    SessionOptions options;
    options.servers = absl::GetFlag(FLAGS_server);
    options.key = bearerToken();
    options.timeout = Milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    const ToolContext context(HttpSession(options), format.value_or(OutputFormat::Table), out, err);
    if (!line.error.empty())
        return end(context.usageError(line.error));
    if (!format)
        return end(context.usageError("--output must be table or json"));
    for (const ToolCommand &command : toolCommands()) {
        std::size_t nameWords = 0;
        if (!matchesCommand(line.words, command.name, nameWords))
            continue;
        const std::vector<std::string> rest(line.words.begin() + static_cast<long>(nameWords),
                                            line.words.end());
        const std::string error = checkArguments(command, rest.size());
        if (!error.empty())
            return end(context.usageError(error));
        return end(command.run(context, rest));
    }
    err << "guavavalve: there is no command \"" << line.words[0] << "\"\n\n" << helpFor(line.words);
    return end(ExitCode::Usage);
}

} // namespace guavavalve
