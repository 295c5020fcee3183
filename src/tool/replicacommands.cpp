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
    return context.show(request, [&](const json &response) { printReplicas(context, response); });
}

/// Parses "NAME=IP:PORT"; null if \a text has another form.
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
            return context.usageError("\"" + argument + "\" is not NAME=IP:PORT");
    }
    if (members.size() % 2 == 0)
        return context.usageError("expected an odd number of replicas: an even number needs a "
                                  "larger quorum and tolerates no more failures");
    const ExitCode code = showReplicas(
        context, jsonRequest("POST", "/v1/operators/replicas/form", {{"members", members}}));
    if (code == ExitCode::Done && !context.printsJson())
        context.print("formed; next, with the same key: guavavalve keys grant --role=operator\n");
    return code;
}

ExitCode status(const ToolContext &context, const std::vector<std::string> &)
{
    const Result<json> response = context.requestJson(getRequest("/v1/operators/replicas"));
    if (response || exitCodeOf(response.error()) != ExitCode::Unavailable)
        return showReplicas(context, getRequest("/v1/operators/replicas"));
    // Without a controller, an entry instance still reports its own view of the group.
    if (!context.printsJson())
        context.print("no controller answers (" + response.error().message
                      + "); the view of one entry instance:\n");
    return showReplicas(context, getRequest("/v1/operators/replicas/own"));
}

ExitCode add(const ToolContext &context, const std::vector<std::string> &arguments)
{
    const json member = parseMember(arguments[0]);
    if (member.is_null())
        return context.usageError("\"" + arguments[0] + "\" is not NAME=IP:PORT");
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
    constexpr std::size_t maxReplicas = 9;
    return {
        {"form",
         "NAME=IP:PORT [...]",
         1,
         maxReplicas,
         "Forms the replica group, once. The key is cluster-secret:SECRET.",
         {},
         form},
        {"replicas status",
         "",
         0,
         0,
         "Shows the leader and the progress of each replica.",
         {},
         status},
        {"replicas add",
         "NAME=IP:PORT",
         1,
         1,
         "Adds a replica; it votes once it has caught up.",
         {},
         add},
        {"replicas remove", "NAME", 1, 1, "Removes a replica from the group.", {}, remove},
    };
}

} // namespace guavavalve
