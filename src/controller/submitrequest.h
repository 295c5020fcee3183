#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// A job that a caller hands in, as an entry passes it to the controller.
struct SubmitRequest
{
    std::string keyId; ///< identity of the key that came with it, never its secret
    std::string team; ///< the key's team
    std::string idempotencyKey; ///< chosen by the caller, or made up by the entry if there is none
    std::string digest; ///< of everything below that makes two requests the same
    WorkClass workClass = WorkClass::Prompt;
    Resources need; ///< of each task
    std::uint32_t tasks = 1; ///< how many tasks; a gang's start together or not at all
    bool repeatable = true; ///< false: runs at most once, ever
    std::int64_t startWithinMs = 0; ///< must start within; 0: no deadline
    std::int64_t finishWithinMs = 0; ///< must finish within; 0: no deadline
    std::int64_t declaredRunTimeMs = 0; ///< 0: not declared
    std::string payload; ///< handed to the target as it is
    InstanceId entry; ///< who asks, and prefers to dispatch

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->keyId, this->team, this->idempotencyKey, this->digest, this->workClass,
                this->need, this->tasks, this->repeatable, this->startWithinMs,
                this->finishWithinMs, this->declaredRunTimeMs, this->payload, this->entry);
    }
};

} // namespace guavavalve
