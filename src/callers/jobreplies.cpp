#include "callers/jobreplies.h"

#include "callers/callercontract.h"
#include "runtime/httperror.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace guavavalve {

namespace {

constexpr Milliseconds retryAfterDelay{1000};

nlohmann::json taskJson(const TaskStatus &task)
{
    return {{"task", std::to_string(idValue(task.task))},
            {"state", enumName(taskStateNames, task.state)},
            {"attempt", task.attempt},
            {"target", task.target},
            {"answerLength", task.answerLength},
            {"ran", enumName(ranNames, task.ran)},
            {"message", task.message}};
}

Error taskError(ErrorCode code, const TaskStatus &task, const std::string &defaultMessage)
{
    Error error = failure(code, task.message.empty() ? defaultMessage : task.message);
    error.ran = task.ran;
    return error;
}

} // namespace

HttpResponse statusResponse(const JobStatus &status, int httpStatusCode)
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const TaskStatus &task : status.tasks)
        tasks.push_back(taskJson(task));
    const nlohmann::json body{{"job", std::to_string(idValue(status.job))},
                              {"team", status.team},
                              {"class", enumName(workClassNames, status.workClass)},
                              {"finished", status.finished},
                              {"waitedMs", status.waitedMs},
                              {"tasks", std::move(tasks)}};
    HttpResponse response;
    response.status = httpStatusCode;
    response.headers[std::string(jobHeader)] = std::to_string(idValue(status.job));
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse answerResponse(JobId job, std::string answer, std::optional<std::int64_t> waitedMs)
{
    HttpResponse response;
    response.contentType = "application/octet-stream";
    response.headers[std::string(jobHeader)] = std::to_string(idValue(job));
    if (waitedMs)
        response.headers[std::string(waitedHeader)] = std::to_string(*waitedMs);
    response.body = std::move(answer);
    return response;
}

std::optional<Error> failureOf(const TaskStatus &task)
{
    if (task.refused) {
        Error refused = taskError(task.refusal, task, "the job was dropped while it was waiting");
        refused.retryAfter = Milliseconds(task.retryAfterMs);
        return refused;
    }
    switch (task.state) {
    case TaskState::Succeeded:
        return std::nullopt;
    case TaskState::Cancelled:
        return taskError(ErrorCode::Cancelled, task, "the job was cancelled");
    case TaskState::Unknown:
        return taskError(ErrorCode::TargetFailed, task,
                         "the target was lost; it cannot be determined whether the task ran");
    case TaskState::Failed:
        break;
    case TaskState::Waiting:
    case TaskState::Placed: {
        // The task may still start after this reply, so "ran: no" could become false.
        Error unfinished = failure(ErrorCode::DeadlineExceeded,
                                   "the job has not finished yet; ask again for its status");
        unfinished.ran = Ran::Unknown;
        unfinished.retryAfter = retryAfterDelay;
        return unfinished;
    }
    }
    if (task.ran != Ran::No)
        return taskError(ErrorCode::TargetFailed, task, "the task failed on its target");
    Error refused =
        taskError(ErrorCode::DeadlineExceeded, task, "the job could not start by its deadline");
    refused.retryAfter = retryAfterDelay;
    return refused;
}

HttpResponse jobErrorResponse(JobId job, const Error &error)
{
    HttpResponse response = errorResponse(error);
    response.headers[std::string(jobHeader)] = std::to_string(idValue(job));
    return response;
}

Result<JobId> parseJobId(const std::string &text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value == 0)
        return failure(ErrorCode::InvalidArgument, "a job number must be a positive integer");
    return JobId{value};
}

} // namespace guavavalve
