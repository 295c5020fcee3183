#pragma once

#include "controller/jobstatus.h"
#include "core/error.h"
#include "core/ids.h"
#include "runtime/httpserver.h"

#include <cstdint>
#include <optional>
#include <string>

namespace guavavalve {

/// The state of a job and its tasks, as JSON.
HttpResponse statusResponse(const JobStatus &status, int httpStatusCode);

/// The complete answer of a job.
HttpResponse answerResponse(JobId job, std::string answer, std::optional<std::int64_t> waitedMs);

/// The reason why \a task has no answer; nullopt if it succeeded. A task that has not finished
/// yields DeadlineExceeded with Ran::Unknown.
std::optional<Error> failureOf(const TaskStatus &task);

/// The reply that reports \a error for \a job.
HttpResponse jobErrorResponse(JobId job, const Error &error);

/// \errors InvalidArgument if \a text is not a job number, which is a positive integer.
Result<JobId> parseJobId(const std::string &text);

} // namespace guavavalve
