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

/// A job and its tasks. The task at position i has the identity of the job plus i. Cell times
/// are milliseconds of the proposers' clocks, for retention, deadlines and reports.
struct JobRecord
{
    JobId id = JobId::None;
    TeamId team = TeamId::None;
    WorkClass workClass = WorkClass::Prompt;
    bool repeatable = true;
    bool cancelled = false; ///< asked for; tasks end as their attempts are known to be over
    bool refused = false; ///< its waiting tasks were given up, for the reason below
    ErrorCode refusalCode = ErrorCode::DeadlineExceeded;
    std::string refusal; ///< for the caller to read
    std::int64_t refusalRetryAfterMs = 0; ///< 0: no use in coming back
    std::uint32_t unfinished = 0; ///< tasks that are not in a final state
    Resources need; ///< of each task
    std::int64_t declaredRunTimeMs = 0; ///< 0: not declared
    std::int64_t acceptedAt = 0;
    std::int64_t startBy = 0; ///< 0: no deadline
    std::int64_t finishBy = 0; ///< 0: no deadline
    std::int64_t firstPlacedAt = 0; ///< 0: not yet
    std::int64_t finishedAt = 0; ///< 0: not yet, or not known
    std::string keyId;
    std::string idempotencyKey;
    std::string digest;
    std::string payload; ///< released when the job has finished
    InstanceId entry;
    std::vector<TaskRecord> tasks;
    std::vector<FinishedAttempt> ends; ///< by task, ascending

    bool finished() const { return this->unfinished == 0; }
    TaskId taskId(std::size_t position) const
    {
        return static_cast<TaskId>(idValue(this->id) + position);
    }
    /// Position of \a task, which must be one of this job's.
    std::size_t position(TaskId task) const { return idValue(task) - idValue(this->id); }

    /// How \a task's last finished attempt ended, or null.
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
