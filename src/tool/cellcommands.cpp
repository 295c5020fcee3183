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

ExitCode setDraining(const ToolContext &context, const std::string &target, bool drain)
{
    const json body{{"target", target}, {"drain", drain}};
    return context.show(jsonRequest("POST", "/v1/operators/targets/drain", body),
                        [&](const json &response) {
                            context.print(target + " is " + formatCell(response["state"]) + " with "
                                          + formatCell(response["tasks"]) + " tasks on it\n");
                        });
}

ExitCode drain(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return setDraining(context, arguments[0], true);
}

ExitCode undrain(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return setDraining(context, arguments[0], false);
}

ExitCode listDomains(const ToolContext &context, const std::vector<std::string> &)
{
    return context.showTable(getRequest("/v1/operators/domains"), "domains",
                             {{"DOMAIN", "/failureDomain"},
                              {"STATE", "/state"},
                              {"TARGETS", "/targets"},
                              {"TASKS", "/tasks"}});
}

ExitCode setEvacuating(const ToolContext &context, const std::string &domain, bool evacuate)
{
    const json body{{"failureDomain", domain}, {"evacuate", evacuate}};
    return context.show(jsonRequest("POST", "/v1/operators/domains/evacuate", body),
                        [&](const json &response) {
                            context.print(domain + " is " + formatCell(response["state"]) + " with "
                                          + formatCell(response["tasks"]) + " tasks on "
                                          + formatCell(response["targets"]) + " targets\n");
                        });
}

ExitCode evacuate(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return setEvacuating(context, arguments[0], true);
}

ExitCode openDomain(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return setEvacuating(context, arguments[0], false);
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
        context.print("\nno tasks are waiting\n");
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
                        [&](const json &response) { printStatus(context, response); });
}

} // namespace

std::vector<ToolCommand> cellCommands()
{
    return {
        {"status",
         "",
         0,
         0,
         "Shows the leader, instances with an old configuration, targets, teams and waiting tasks.",
         {},
         status},
        {"teams", "", 0, 0, "Lists the teams with their shares and usage.", {}, teams},
        {"targets list", "", 0, 0, "Lists the targets and their states.", {}, listTargets},
        {"targets drain",
         "TARGET",
         1,
         1,
         "Stops placing new tasks on a target; running ones continue.",
         {},
         drain},
        {"targets undrain", "TARGET", 1, 1, "Reopens a drained target for new tasks.", {}, undrain},
        {"domains list",
         "",
         0,
         0,
         "Lists the failure domains with their states, targets and tasks.",
         {},
         listDomains},
        {"domains evacuate",
         "DOMAIN",
         1,
         1,
         "Stops placing new tasks on all targets of a failure domain; running ones continue.",
         {},
         evacuate},
        {"domains open",
         "DOMAIN",
         1,
         1,
         "Reopens an evacuated failure domain for new tasks.",
         {},
         openDomain},
    };
}

} // namespace guavavalve
