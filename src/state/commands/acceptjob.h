#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Accepts a job for a team. A resend with the same idempotency key and digest returns the job that
/// was accepted first, with JobAccepted::joined set. The controller sets \a first to
/// ClusterState::nextTask() plus the number of tasks in its proposed but uncommitted jobs. For cell
/// times see Command.
/// \errors Unauthenticated if the key is unknown, withdrawn or another team's; Conflict if the
/// idempotency key was used with another digest, or \a first is not an unused ID of the shard (gaps
/// are allowed); InvalidArgument; PermissionDenied if the class is disabled; LimitExceeded.
struct AcceptJob
{
    JobId first = JobId::None; ///< ID of the job and of its first task
    std::string keyId;
    TeamId team = TeamId::None;
    std::string idempotencyKey;
    std::string digest; ///< of the request's content
    WorkClass workClass = WorkClass::Prompt;
    Resources need; ///< per task
    std::uint32_t tasks = 1;
    bool repeatable = true;
    std::int64_t declaredRunTimeMs = 0; ///< 0: not declared
    std::int64_t acceptedAt = 0; ///< cell time in ms
    std::int64_t startBy = 0; ///< cell time in ms; 0: no deadline
    std::int64_t finishBy = 0; ///< cell time in ms; 0: no deadline
    std::string payload;
    InstanceId entry; ///< the entry instance (front end) that received the request

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->first, this->keyId, this->team, this->idempotencyKey, this->digest,
                this->workClass, this->need, this->tasks, this->repeatable, this->declaredRunTimeMs,
                this->acceptedAt, this->startBy, this->finishBy, this->payload, this->entry);
    }
};

} // namespace guavavalve
