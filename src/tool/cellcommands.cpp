#include "tool/commandgroups.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

namespace guavavalve {

namespace {

using nlohmann::json;

const std::vector<Column> &teamColumns()
{
    static const std::vector<Column> columns{{"TEAM", "/team"},
                                             {"SHARE", "/share"},
                                             {"DUE", "/entitled"},
                                             {"IN USE", "/inUse"},
                                             {"WAITING", "/waiting"},
                                             {"SLOTS", "/placed/slots"},
                                             {"SLOT LIMIT", "/limit/slots"}};
    return columns;
}

ExitCode teams(const ToolContext &context, const std::vector<std::string> &)
{
    return context.showTable(getRequest("/v1/operators/teams"), "teams", teamColumns());
}

ExitCode listTargets(const ToolContext &context, const std::vector<std::string> &)
{
    return context.showTable(getRequest("/v1/operators/targets"), "targets",
                             {{"TARGET", "/name"},
                              {"STATE", "/state"},
                              {"DOMAIN", "/failureDomain"},
                              {"RACK", "/rack"},
                              {"ADDRESS", "/address"},
                              {"TASKS", "/tasks"},
                              {"SLOTS", "/placed/slots"},
                              {"OF", "/total/slots"}});
}

ExitCode drainOrOpen(const ToolContext &context, const std::string &target, bool drain)
{
    const json body{{"target", target}, {"drain", drain}};
    return context.show(jsonRequest("POST", "/v1/operators/targets/drain", body),
                        [&](const json &answer) {
                            context.print(target + " is " + formatCell(answer["state"]) + " with "
                                          + formatCell(answer["tasks"]) + " tasks on it\n");
                        });
}

ExitCode drain(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return drainOrOpen(context, arguments[0], true);
}

ExitCode undrain(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return drainOrOpen(context, arguments[0], false);
}

ExitCode listDomains(const ToolContext &context, const std::vector<std::string> &)
{
    return context.showTable(getRequest("/v1/operators/domains"), "domains",
                             {{"DOMAIN", "/failureDomain"},
                              {"STATE", "/state"},
                              {"TARGETS", "/targets"},
                              {"TASKS", "/tasks"}});
}

ExitCode evacuateOrOpen(const ToolContext &context, const std::string &domain, bool evacuate)
{
    const json body{{"failureDomain", domain}, {"evacuate", evacuate}};
    return context.show(jsonRequest("POST", "/v1/operators/domains/evacuate", body),
                        [&](const json &answer) {
                            context.print(domain + " is " + formatCell(answer["state"]) + " with "
                                          + formatCell(answer["tasks"]) + " tasks on "
                                          + formatCell(answer["targets"]) + " targets\n");
                        });
}

ExitCode evacuate(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return evacuateOrOpen(context, arguments[0], true);
}

ExitCode openDomain(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return evacuateOrOpen(context, arguments[0], false);
}

std::string joined(const json &names)
{
    std::string text;
    for (const json &name : names)
        text += (text.empty() ? "" : ", ") + name.get<std::string>();
    return text.empty() ? "none" : text;
}

void printStatus(const ToolContext &context, const json &status)
{
    const json &replicas = status["replicas"];
    context.print("leader         " + formatCell(replicas["leader"]) + ", term "
                  + formatCell(replicas["term"]) + ", " + formatCell(replicas["committed"])
                  + " entries committed\n");
    context.print("configuration  version " + formatCell(status["configurationVersion"])
                  + "; behind: " + joined(status["behind"]) + "\n");
    std::string targets;
    for (const json &count : status["targets"])
        targets += (targets.empty() ? "" : ", ") + formatCell(count["targets"]) + " "
            + formatCell(count["state"]);
    context.print("targets        " + (targets.empty() ? "none" : targets)
                  + "; quarantined: " + joined(status["quarantined"]) + "\n");
    context.print("packing        " + formatCell(status["packing"]) + "\n\n");
    context.print(formatTable({{"REPLICA", "/instance"},
                               {"ADDRESS", "/address"},
                               {"VOTES", "/voter"},
                               {"SYNCED UP TO", "/matchIndex"}},
                              replicas["members"]));
    context.print("\n" + formatTable(teamColumns(), status["teams"]));
    if (status["waiting"].empty()) {
        context.print("\nnothing waits\n");
        return;
    }
    context.print(
        "\n"
        + formatTable(
            {{"WAITING", "/tasks"}, {"TEAM", "/team"}, {"CLASS", "/class"}, {"WHY", "/reason"}},
            status["waiting"]));
}

ExitCode status(const ToolContext &context, const std::vector<std::string> &)
{
    return context.show(getRequest("/v1/operators/status"),
                        [&](const json &answer) { printStatus(context, answer); });
}

} // namespace

std::vector<ToolCommand> cellCommands()
{
    return {
        {"status",
         "",
         0,
         0,
         "The whole cell at a glance: who leads, who lags, what waits and why.",
         {},
         status},
        {"teams", "", 0, 0, "Lists the teams with their shares and what they use.", {}, teams},
        {"targets list", "", 0, 0, "Lists the targets and their states.", {}, listTargets},
        {"targets drain",
         "TARGET",
         1,
         1,
         "Closes a target to new work; what runs there goes on.",
         {},
         drain},
        {"targets undrain", "TARGET", 1, 1, "Opens a drained target again.", {}, undrain},
        {"domains list",
         "",
         0,
         0,
         "Lists the failure domains with their targets and what is on them.",
         {},
         listDomains},
        {"domains evacuate",
         "DOMAIN",
         1,
         1,
         "Closes all targets of a failure domain to new work; what runs there goes on.",
         {},
         evacuate},
        {"domains open",
         "DOMAIN",
         1,
         1,
         "Opens an evacuated failure domain again.",
         {},
         openDomain},
    };
}

} // namespace guavavalve
