#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Takes on a job for a team. Cell times are milliseconds of the proposer's clock and serve
/// retention, deadlines and reports; no rule of safety compares them.
/// \errors Unauthenticated if the key is unknown, withdrawn or another team's; Conflict if the
/// idempotency key stands for another digest, or \a first is below the shard's next identity
/// (gaps are harmless); LimitExceeded. The same digest again gives the first job with joined set.
struct AcceptJob
{
    JobId first = JobId::None; ///< ClusterState::nextTask(), counting what is pending
    std::string keyId;
    TeamId team = TeamId::None;
    std::string idempotencyKey;
    std::string digest;
    WorkClass workClass = WorkClass::Prompt;
    Resources need; ///< of each task
    std::uint32_t tasks = 1;
    bool repeatable = true;
    std::int64_t declaredRunTimeMs = 0; ///< 0: not declared
    std::int64_t acceptedAt = 0; ///< cell time in ms
    std::int64_t startBy = 0; ///< cell time in ms; 0: no deadline
    std::int64_t finishBy = 0; ///< cell time in ms; 0: no deadline
    std::string payload;
    InstanceId entry; ///< who asked

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->first, this->keyId, this->team, this->idempotencyKey, this->digest,
                this->workClass, this->need, this->tasks, this->repeatable, this->declaredRunTimeMs,
                this->acceptedAt, this->startBy, this->finishBy, this->payload, this->entry);
    }
};

} // namespace guavavalve
