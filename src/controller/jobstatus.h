#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/taskstate.h"
#include "core/workclass.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// One task of a JobStatus.
struct TaskStatus
{
    TaskId task = TaskId::None;
    TaskState state = TaskState::Waiting;
    AttemptNumber attempt = 0;
    std::string target; ///< name; empty while waiting
    std::string targetAddress;
    std::uint64_t answerLength = 0;
    std::string answerDigest;
    Ran ran = Ran::No;
    std::string message;
    bool refused = false; ///< ended before it was placed, for the reason in `refusal`
    ErrorCode refusal = ErrorCode::DeadlineExceeded;
    std::int64_t retryAfterMs = 0; ///< of a refusal; 0: a retry is of no use

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->state, this->attempt, this->target, this->targetAddress,
                this->answerLength, this->answerDigest, this->ran, this->message, this->refused,
                this->refusal, this->retryAfterMs);
    }
};

/// The status of a job.
struct JobStatus
{
    JobId job = JobId::None;
    std::string team;
    WorkClass workClass = WorkClass::Prompt;
    bool finished = false; ///< every task is in a final state
    std::int64_t waitedMs = 0; ///< from its acceptance to its first placement
    std::vector<TaskStatus> tasks;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->team, this->workClass, this->finished, this->waitedMs,
                this->tasks);
    }
};

} // namespace guavavalve
