#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/workclass.h"
#include "state/finishedattempt.h"
#include "state/taskrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// A job and its tasks. The ID of the task at position i is the job's ID plus i. Cell times are
/// milliseconds of the proposers' clocks, used for retention, deadlines and reports.
struct JobRecord
{
    JobId id = JobId::None;
    TeamId team = TeamId::None;
    WorkClass workClass = WorkClass::Prompt;
    bool repeatable = true;
    bool cancelled = false; ///< requested; placed tasks end when their attempts are known to end
    bool refused = false; ///< its waiting tasks were refused, for the reason below
    ErrorCode refusalCode = ErrorCode::DeadlineExceeded;
    std::string refusal; ///< human-readable, for the caller
    std::int64_t refusalRetryAfterMs = 0; ///< 0: a retry is pointless
    std::uint32_t unfinished = 0; ///< tasks that are not in a final state
    Resources need; ///< per task
    std::int64_t declaredRunTimeMs = 0; ///< 0: not declared
    std::int64_t acceptedAt = 0;
    std::int64_t startBy = 0; ///< 0: no deadline
    std::int64_t finishBy = 0; ///< 0: no deadline
    std::int64_t firstPlacedAt = 0; ///< 0: not yet
    std::int64_t finishedAt = 0; ///< 0: not finished, or time unknown
    std::string keyId;
    std::string idempotencyKey;
    std::string digest;
    std::string payload; ///< released when the job has finished
    InstanceId entry; ///< the entry instance that received the request
    std::vector<TaskRecord> tasks;
    std::vector<FinishedAttempt> ends; ///< for tasks with a finished attempt; sorted by task

    bool finished() const { return this->unfinished == 0; }
    TaskId taskId(std::size_t position) const
    {
        return static_cast<TaskId>(idValue(this->id) + position);
    }
    /// Position of \a task, which must belong to this job.
    std::size_t position(TaskId task) const { return idValue(task) - idValue(this->id); }

    /// The last finished attempt of \a task, or null if none has finished.
    const FinishedAttempt *end(TaskId task) const;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->team, this->workClass, this->repeatable, this->cancelled,
                this->refused, this->refusalCode, this->refusal, this->refusalRetryAfterMs,
                this->unfinished, this->need, this->declaredRunTimeMs, this->acceptedAt,
                this->startBy, this->finishBy, this->firstPlacedAt, this->finishedAt, this->keyId,
                this->idempotencyKey, this->digest, this->payload, this->entry, this->tasks,
                this->ends);
    }
};

} // namespace guavavalve
