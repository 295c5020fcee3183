#include "decisions/replaytrace.h"
#include "tool/commandgroups.h"
#include "tool/toolcontext.h"

#include <fstream>

namespace guavavalve {

namespace {

using nlohmann::json;

json describe(const std::string &file, const ReplayReport &report)
{
    json outcomes = json::array();
    for (const ReplayOutcome &outcome : report.outcomes)
        outcomes.push_back(
            {{"measure", outcome.measure}, {"value", outcome.value}, {"met", outcome.met()}});
    return {{"file", file},
            {"passed", report.passed()},
            {"events", report.events},
            {"decisions", report.decisions},
            {"firstDifference", report.firstDifference},
            {"outcomes", std::move(outcomes)},
            {"measures", report.measures}};
}

void print(const ToolContext &context, const json &report)
{
    context.print(formatCell(report["file"])
                  + (report["passed"].get<bool>() ? ": matches the recording, "
                                                  : ": DIFFERS from the recording, ")
                  + formatCell(report["events"]) + " events, " + formatCell(report["decisions"])
                  + " decisions\n");
    if (!report["firstDifference"].get<std::string>().empty())
        context.print("  " + formatCell(report["firstDifference"]) + "\n");
    for (const json &outcome : report["outcomes"])
        context.print("  " + formatCell(outcome["measure"]) + " = " + formatCell(outcome["value"])
                      + (outcome["met"].get<bool>() ? ", as expected\n" : ", NOT as expected\n"));
}

Result<json> replayFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return failure(ErrorCode::InvalidArgument, "cannot read " + path);
    const Result<ReplayReport> report = replayTrace(file);
    if (!report)
        return failure(report.error().code, path + ": " + report.error().message);
    return describe(path, report.value());
}

ExitCode replay(const ToolContext &context, const std::vector<std::string> &arguments)
{
    constexpr int indent = 2;
    json reports = json::array();
    ExitCode code = ExitCode::Done;
    for (const std::string &path : arguments) {
        const Result<json> report = replayFile(path);
        if (!report)
            return context.fail(report.error());
        reports.push_back(report.value());
        if (!context.printsJson())
            print(context, report.value());
        if (!report.value()["passed"].get<bool>())
            code = ExitCode::Failed;
    }
    if (context.printsJson())
        context.print(reports.dump(indent) + "\n");
    return code;
}

} // namespace

std::vector<ToolCommand> replayCommands()
{
    constexpr std::size_t maxFiles = 1000;
    return {{"replay",
             "FILE ...",
             1,
             maxFiles,
             "Replays recorded traces and compares decisions and outcomes. Needs no server.",
             {},
             replay}};
}

} // namespace guavavalve
