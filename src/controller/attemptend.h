#pragma once

#include "core/attemptoutcome.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// The outcome of an attempt that has ended, which is committed before its caller is answered.
struct AttemptEnd
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Failed;
    std::uint64_t answerLength = 0; ///< bytes; the target and the entry hold the answer itself
    std::string answerDigest;
    std::string message; ///< human-readable description of a failure

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->outcome, this->answerLength, this->answerDigest,
                this->message);
    }
};

} // namespace guavavalve
