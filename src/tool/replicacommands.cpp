#include "tool/commandgroups.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

namespace guavavalve {

namespace {

using nlohmann::json;

void printReplicas(const ToolContext &context, const json &status)
{
    context.print("leader " + formatCell(status["leader"]) + ", term " + formatCell(status["term"])
                  + ", committed " + formatCell(status["committed"]) + "\n");
    context.print(formatTable({{"REPLICA", "/instance"},
                               {"ADDRESS", "/address"},
                               {"VOTES", "/voter"},
                               {"SYNCED UP TO", "/matchIndex"}},
                              status["members"]));
}

ExitCode showReplicas(const ToolContext &context, const ToolRequest &request)
{
    return context.show(request, [&](const json &answer) { printReplicas(context, answer); });
}

/// "NAME=IP:PORT", or null.
json parseMember(const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0 || equals + 1 == text.size())
        return nullptr;
    return {{"instance", text.substr(0, equals)}, {"address", text.substr(equals + 1)}};
}

ExitCode form(const ToolContext &context, const std::vector<std::string> &arguments)
{
    json members = json::array();
    for (const std::string &argument : arguments) {
        members.push_back(parseMember(argument));
        if (members.back().is_null())
            return context.usage("\"" + argument + "\" is not NAME=IP:PORT");
    }
    if (members.size() % 2 == 0)
        return context.usage("give an odd number of replicas: an even one tolerates no more "
                             "losses and needs a larger quorum");
    const ExitCode code = showReplicas(
        context, jsonRequest("POST", "/v1/operators/replicas/form", {{"members", members}}));
    if (code == ExitCode::Done && !context.forPrograms())
        context.print("formed; next, with the same key: guavavalve keys grant --role=operator\n");
    return code;
}

ExitCode status(const ToolContext &context, const std::vector<std::string> &)
{
    const Result<json> answer = context.ask(getRequest("/v1/operators/replicas"));
    if (answer || exitCodeOf(answer.error()) != ExitCode::Unavailable)
        return showReplicas(context, getRequest("/v1/operators/replicas"));
    // Without a controller an entry still tells how it sees its group.
    if (!context.forPrograms())
        context.print("no controller answers (" + answer.error().message
                      + "); an entry's own view:\n");
    return showReplicas(context, getRequest("/v1/operators/replicas/own"));
}

ExitCode add(const ToolContext &context, const std::vector<std::string> &arguments)
{
    const json member = parseMember(arguments[0]);
    if (member.is_null())
        return context.usage("\"" + arguments[0] + "\" is not NAME=IP:PORT");
    return showReplicas(context, jsonRequest("POST", "/v1/operators/replicas/add", member));
}

ExitCode remove(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return showReplicas(
        context,
        jsonRequest("POST", "/v1/operators/replicas/remove", {{"instance", arguments[0]}}));
}

} // namespace

std::vector<ToolCommand> replicaCommands()
{
    constexpr std::size_t mostReplicas = 9;
    return {
        {"form",
         "NAME=IP:PORT [...]",
         1,
         mostReplicas,
         "Forms the replica group, once. The key is cluster-secret:SECRET.",
         {},
         form},
        {"replicas status", "", 0, 0, "Who leads, and how far each replica is.", {}, status},
        {"replicas add",
         "NAME=IP:PORT",
         1,
         1,
         "Adds a replica; it votes once it has synced everything.",
         {},
         add},
        {"replicas remove", "NAME", 1, 1, "Takes a replica out of the group.", {}, remove},
    };
}

} // namespace guavavalve
