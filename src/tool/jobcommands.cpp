#include "tool/commandgroups.h"
#include "tool/files.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

#include <absl/flags/flag.h>

namespace guavavalve {

namespace {

using nlohmann::json;

constexpr const char *jobsPath = "/v1/jobs";

std::string describeNeed()
{
    return "milliCores=" + std::to_string(absl::GetFlag(FLAGS_milli_cores))
        + ",memoryMb=" + std::to_string(absl::GetFlag(FLAGS_memory_mb))
        + ",accelerators=" + std::to_string(absl::GetFlag(FLAGS_accelerators))
        + ",slots=" + std::to_string(absl::GetFlag(FLAGS_slots))
        + ",connections=" + std::to_string(absl::GetFlag(FLAGS_connections));
}

/// The submission that the flags describe. Its idempotency key makes it safe to send again, also to
/// another entry instance.
ToolRequest submission(const std::string &payload)
{
    ToolRequest request;
    request.method = "POST";
    request.path = jobsPath;
    request.body = payload;
    request.headers = {
        {"Idempotency-Key", requestId()},
        {"Guavavalve-Class", absl::GetFlag(FLAGS_class)},
        {"Guavavalve-Need", describeNeed()},
        {"Guavavalve-Tasks", std::to_string(absl::GetFlag(FLAGS_tasks))},
        {"Guavavalve-Repeatable", absl::GetFlag(FLAGS_repeatable) ? "true" : "false"},
        {"Guavavalve-Start-Within-Ms", std::to_string(absl::GetFlag(FLAGS_start_within_ms))},
        {"Guavavalve-Finish-Within-Ms", std::to_string(absl::GetFlag(FLAGS_finish_within_ms))},
        {"Guavavalve-Run-Time-Ms", std::to_string(absl::GetFlag(FLAGS_run_time_ms))}};
    return request;
}

void printStatus(const ToolContext &context, const json &status)
{
    context.print("job " + formatCell(status["job"]) + " of " + formatCell(status["team"]) + ", "
                  + formatCell(status["class"])
                  + (status["finished"].get<bool>() ? ", finished" : ", not finished") + ", waited "
                  + formatCell(status["waitedMs"]) + " ms\n");
    context.print(formatTable({{"TASK", "/task"},
                               {"STATE", "/state"},
                               {"ATTEMPT", "/attempt"},
                               {"TARGET", "/target"},
                               {"RAN", "/ran"},
                               {"MESSAGE", "/message"}},
                              status["tasks"]));
}

ExitCode showStatus(const ToolContext &context, const ToolRequest &request)
{
    return context.show(request, [&](const json &status) { printStatus(context, status); });
}

/// Prints the answer of a task exactly as the target sent it.
ExitCode printAnswer(const ToolContext &context, const ToolRequest &request)
{
    const Result<ToolResponse> response = context.send(request);
    if (!response)
        return context.fail(response.error());
    context.print(response.value().body);
    const auto &headers = response.value().headers;
    const auto job = headers.find("guavavalve-job");
    const auto waited = headers.find("guavavalve-waited-ms");
    if (job != headers.end())
        context.note("job " + job->second
                     + (waited != headers.end() ? ", waited " + waited->second + " ms" : ""));
    return ExitCode::Done;
}

ExitCode submit(const ToolContext &context, const std::vector<std::string> &arguments)
{
    const Result<std::string> payload = readFile(arguments.empty() ? "-" : arguments[0]);
    if (!payload)
        return context.fail(payload.error());
    ToolRequest request = submission(payload.value());
    if (!absl::GetFlag(FLAGS_wait)) {
        return context.show(request, [&](const json &accepted) {
            context.print(accepted["job"].get<std::string>() + "\n");
        });
    }
    request.path += "?wait=true";
    return absl::GetFlag(FLAGS_tasks) == 1 ? printAnswer(context, request)
                                           : showStatus(context, request);
}

std::string jobPath(const std::string &job)
{
    return std::string(jobsPath) + "/" + encodeForQuery(job);
}

ExitCode status(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return showStatus(
        context,
        getRequest(jobPath(arguments[0]) + (absl::GetFlag(FLAGS_wait) ? "?wait=true" : "")));
}

ExitCode answer(const ToolContext &context, const std::vector<std::string> &arguments)
{
    std::string path = jobPath(arguments[0]) + "/answer";
    if (arguments.size() > 1)
        path += "?task=" + encodeForQuery(arguments[1]);
    return printAnswer(context, getRequest(path));
}

ExitCode cancel(const ToolContext &context, const std::vector<std::string> &arguments)
{
    ToolRequest request;
    request.method = "DELETE";
    request.path = jobPath(arguments[0]);
    return showStatus(context, request);
}

ExitCode list(const ToolContext &context, const std::vector<std::string> &)
{
    std::string path = "/v1/operators/jobs?limit=" + std::to_string(absl::GetFlag(FLAGS_limit));
    if (absl::GetFlag(FLAGS_unfinished))
        path += "&unfinished=true";
    if (!absl::GetFlag(FLAGS_team).empty())
        path += "&team=" + encodeForQuery(absl::GetFlag(FLAGS_team));
    return context.showTable(getRequest(path), "jobs",
                             {{"JOB", "/job"},
                              {"TEAM", "/team"},
                              {"CLASS", "/class"},
                              {"TASKS", "/tasks"},
                              {"WAITING", "/waiting"},
                              {"PLACED", "/placed"},
                              {"FINISHED", "/finished"}});
}

ExitCode explain(const ToolContext &context, const std::vector<std::string> &arguments)
{
    const std::string path = "/v1/operators/explain?job=" + encodeForQuery(arguments[0]);
    return context.show(getRequest(path), [&](const json &explanation) {
        printStatus(context, explanation);
        for (const json &reason : explanation["reasons"])
            context.print("why: " + formatCell(reason) + "\n");
    });
}

} // namespace

std::vector<ToolCommand> jobCommands()
{
    return {
        {"jobs submit",
         "[FILE]",
         0,
         1,
         "Submits a job with FILE or the standard input as payload, and prints its identifier.",
         {"class", "tasks", "milli_cores", "memory_mb", "accelerators", "slots", "connections",
          "repeatable", "start_within_ms", "finish_within_ms", "run_time_ms", "wait", "request_id"},
         submit},
        {"jobs status", "JOB", 1, 1, "Shows the state of a job and its tasks.", {"wait"}, status},
        {"jobs answer",
         "JOB [POSITION]",
         1,
         2,
         "Prints the complete answer of a task of a job; the first task is at position 0.",
         {},
         answer},
        {"jobs cancel", "JOB", 1, 1, "Cancels a job.", {}, cancel},
        {"jobs list", "", 0, 0, "Lists jobs, newest first.", {"team", "unfinished", "limit"}, list},
        {"explain", "JOB", 1, 1, "Explains the state of a job.", {}, explain},
    };
}

} // namespace guavavalve
