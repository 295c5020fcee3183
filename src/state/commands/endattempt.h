#pragma once

#include "core/attemptoutcome.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Records the known end of an attempt, and so frees its place. A resend is harmless.
/// \errors NotFound; Conflict if \a attempt is not the current one or has ended otherwise.
struct EndAttempt
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Failed;
    std::uint64_t answerLength = 0; ///< bytes
    std::string answerDigest;
    std::string message; ///< of a failure, for a person to read
    std::int64_t endedAt = 0; ///< cell time in ms, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->outcome, this->answerLength, this->answerDigest,
                this->message, this->endedAt);
    }
};

} // namespace guavavalve
