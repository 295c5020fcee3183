#pragma once

#include "core/attemptoutcome.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Records that an attempt has ended and releases the resources it held. A resend has no effect.
/// \errors NotFound; Conflict if \a attempt is not the current one or has ended with another
/// outcome.
struct EndAttempt
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Failed;
    std::uint64_t answerLength = 0; ///< bytes
    std::string answerDigest;
    std::string message; ///< why the attempt failed, human-readable
    std::int64_t endedAt = 0; ///< cell time in ms, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->outcome, this->answerLength, this->answerDigest,
                this->message, this->endedAt);
    }
};

} // namespace guavavalve
