#pragma once

#include "core/attemptoutcome.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// The known end of an attempt, to be committed before its caller is answered.
struct AttemptEnd
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Failed;
    std::uint64_t answerLength = 0; ///< bytes; the answer itself stays with target and entry
    std::string answerDigest;
    std::string message; ///< of a failure, for a person to read

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->outcome, this->answerLength, this->answerDigest,
                this->message);
    }
};

} // namespace guavavalve
