#pragma once

#include "controller/jobstatus.h"
#include "core/error.h"
#include "core/ids.h"
#include "runtime/httpserver.h"

#include <cstdint>
#include <optional>
#include <string>

namespace guavavalve {

/// Where a job stands, as JSON.
HttpResponse statusResponse(const JobStatus &status, int httpStatusCode);

/// A job's whole answer.
HttpResponse answerResponse(JobId job, std::string answer, std::optional<std::int64_t> waitedMs);

/// Why \a task, which is in a final state, has no answer; nothing if it succeeded.
std::optional<Error> failureOf(const TaskStatus &task);

/// \a error as a reply about \a job.
HttpResponse jobErrorResponse(JobId job, const Error &error);

/// \errors InvalidArgument if \a text is not a job's number.
Result<JobId> parseJobId(const std::string &text);

} // namespace guavavalve
